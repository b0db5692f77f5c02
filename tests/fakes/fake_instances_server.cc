#include "fakes/fake_instances_server.h"

#include <boost/json/array.hpp>
#include <utility>

#include "fakes/answer_with.h"
#include "fakes/json_response.h"
#include "platform/detail/instance_json.h"

namespace clementineloom::fakes {
namespace {

using codec::detail::JsonReader;

constexpr int kNotFound = 404;

}  // namespace

Result<std::unique_ptr<FakeInstancesServer>> FakeInstancesServer::Start(const std::string& listen) {
  std::unique_ptr<FakeInstancesServer> instances(new FakeInstancesServer());
  BOOST_LEAF_ASSIGN(instances->server_,
                    FaultHttpServer::Start("fake-instances", listen, {"lag_ms"},
                                           [it = instances.get()](const net::HttpRequest& request,
                                                                  const Reply& reply) {
                                             reply(it->Handle(request));
                                           }));
  return instances;
}

FakeInstancesServer::~FakeInstancesServer() = default;

net::HttpResponse FakeInstancesServer::Handle(const net::HttpRequest& request) {
  if (request.target == "/v1/faults") {
    return AnswerWith(request.body, [this](const JsonReader& json) { return ChangeFaults(json); });
  }
  if (request.target != "/v1/instances") {
    return {kNotFound, {}, "unknown path\n"};
  }
  if (request.method == "PUT") {
    return AnswerWith(request.body, [this](const JsonReader& json) { return Put(json); });
  }
  return Get();
}

net::HttpResponse FakeInstancesServer::Get() {
  const auto now = Clock::now();
  while (!changes_.empty() && changes_.front().visible_at <= now) {
    visible_ = std::move(changes_.front().list);
    changes_.pop_front();
  }
  return JsonResponse(platform::detail::ToJson(visible_));
}

Result<net::HttpResponse> FakeInstancesServer::Put(const JsonReader& json) {
  platform::InstanceList list;
  BOOST_LEAF_AUTO(instances, json.Array("instances"));
  for (const boost::json::value& it : *instances) {
    BOOST_LEAF_AUTO(reader, JsonReader::Of(it));
    BOOST_LEAF_AUTO(instance, platform::detail::ReadInstance(reader));
    list.instances.push_back(std::move(instance));
  }
  list.version = ++last_version_;
  changes_.push_back({Clock::now() + lag_, std::move(list)});
  return JsonResponse({{"version", last_version_}});
}

Result<net::HttpResponse> FakeInstancesServer::ChangeFaults(const JsonReader& json) {
  if (json.Has("lag_ms")) {
    BOOST_LEAF_AUTO(lag, json.Number<std::uint32_t>("lag_ms"));
    lag_ = std::chrono::milliseconds(lag);
  }
  return JsonResponse({});
}

}  // namespace clementineloom::fakes
