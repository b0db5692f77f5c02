#include "fakes/fake_worker_server.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <string>
#include <utility>

#include "fakes/answer_with.h"
#include "fakes/json_response.h"
#include "platform/detail/task_json.h"

namespace clementineloom::fakes {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;
using platform::TaskReport;

constexpr int kInternalError = 500;

// The monotonic clock: a lease must not end early when the time of day is set.
Instant Now() {
  const auto since_start = std::chrono::steady_clock::now().time_since_epoch();
  return Instant(std::chrono::duration_cast<Duration>(since_start));
}

}  // namespace

Result<std::unique_ptr<FakeWorkerServer>> FakeWorkerServer::Start(std::uint16_t port) {
  FakeWorkerOptions options;
  options.listen = "127.0.0.1:" + std::to_string(port);
  return Start(std::move(options));
}

Result<std::unique_ptr<FakeWorkerServer>> FakeWorkerServer::Start(FakeWorkerOptions options) {
  const std::string listen = options.listen;
  std::unique_ptr<FakeWorkerServer> worker(new FakeWorkerServer(std::move(options)));
  BOOST_LEAF_ASSIGN(worker->server_,
                    FaultHttpServer::Start(
                        "fake-worker", listen, {"refuse_start", "fail_everything"},
                        [it = worker.get()](const net::HttpRequest& request, const Reply& reply) {
                          reply(it->Handle(request));
                        }));
  return worker;
}

FakeWorkerServer::FakeWorkerServer(FakeWorkerOptions options)
    : options_(std::move(options)), tasks_(options_.accelerators) {}

FakeWorkerServer::~FakeWorkerServer() = default;

net::HttpResponse FakeWorkerServer::Handle(const net::HttpRequest& request) {
  if (request.target == "/v1/faults") {
    return AnswerWith(request.body, [this](const JsonReader& json) { return ChangeFaults(json); });
  }
  if (request.target == "/v1/ledger") {
    return ShowLedger();
  }
  if (request.target == "/v1/tasks") {
    return ShowTasks();
  }
  if (request.target.starts_with("/v1/tasks/")) {
    return AnswerWith(request.body, [&](const JsonReader& json) -> Result<net::HttpResponse> {
      BOOST_LEAF_AUTO(report, Command(request.target, json));
      return JsonResponse(platform::detail::ToJson(report));
    });
  }
  return Serve(request);
}

net::HttpResponse FakeWorkerServer::Serve(const net::HttpRequest& request) {
  net::HttpHeaders headers;
  if (const auto id = request.headers.Find("X-Request-Id"); !id.empty()) {
    headers = headers.With("X-Request-Id", id);
    ledger_.Record(std::string(id));
  }
  if (fail_everything_) {
    return {kInternalError, headers, "fault: fail_everything\n"};
  }
  return {200, headers, "served " + request.target + " " + request.body + "\n"};
}

net::HttpResponse FakeWorkerServer::ShowLedger() const {
  json::array requests;
  for (const auto& [id, runs] : ledger_.runs()) {
    requests.push_back(json::object{{"id", id}, {"runs", runs}});
  }
  return JsonResponse({{"requests", std::move(requests)}});
}

net::HttpResponse FakeWorkerServer::ShowTasks() {
  const platform::WorkerReport report{options_.name, options_.accelerators, tasks_.List(Now())};
  return JsonResponse(platform::detail::ToJson(report));
}

Result<TaskReport> FakeWorkerServer::Command(const std::string& target, const JsonReader& json) {
  if (target == "/v1/tasks/reserve") {
    BOOST_LEAF_AUTO(command, platform::detail::ReadReserveCommand(json));
    return tasks_.Reserve(command, Now());
  }
  if (target == "/v1/tasks/start") {
    BOOST_LEAF_AUTO(command, platform::detail::ReadStartCommand(json));
    if (refuse_start_) {
      return Refuse(ResultCode::kWorkerRefused, "fault: refuse_start");
    }
    return tasks_.Start(command, Now());
  }
  if (target == "/v1/tasks/renew") {
    BOOST_LEAF_AUTO(command, platform::detail::ReadRenewCommand(json));
    return tasks_.Renew(command, Now());
  }
  BOOST_LEAF_AUTO(key, platform::detail::ReadTaskKey(json));
  if (target == "/v1/tasks/checkpoint") {
    return tasks_.Checkpoint(key, Now());
  }
  if (target == "/v1/tasks/stop") {
    return tasks_.Stop(key, Now());
  }
  return Refuse(ResultCode::kMalformedRequest, "unknown command " + target);
}

Result<net::HttpResponse> FakeWorkerServer::ChangeFaults(const JsonReader& json) {
  if (json.Has("refuse_start")) {
    BOOST_LEAF_ASSIGN(refuse_start_, json.Bool("refuse_start"));
  }
  if (json.Has("fail_everything")) {
    BOOST_LEAF_ASSIGN(fail_everything_, json.Bool("fail_everything"));
    tasks_.set_fail_everything(fail_everything_);
  }
  return JsonResponse({});
}

}  // namespace clementineloom::fakes
