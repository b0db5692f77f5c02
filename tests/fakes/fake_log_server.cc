#include "fakes/fake_log_server.h"

#include <algorithm>
#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <chrono>
#include <string_view>
#include <utility>
#include <vector>

#include "fakes/answer_with.h"
#include "fakes/json_response.h"
#include "fakes/query.h"

namespace clementineloom::fakes {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

constexpr std::string_view kPrefix = "/v1/streams/";
constexpr std::string_view kSuffix = "/records";
constexpr std::uint64_t kDefaultLimit = 1'000;
constexpr std::uint64_t kMaxWaitMs = 60'000;
constexpr int kGone = 410;
constexpr int kNotFound = 404;

// The name in /v1/streams/NAME/records, or an empty string.
std::string StreamOf(std::string_view path) {
  if (!path.starts_with(kPrefix) || !path.ends_with(kSuffix) ||
      path.size() <= kPrefix.size() + kSuffix.size()) {
    return {};
  }
  path.remove_prefix(kPrefix.size());
  path.remove_suffix(kSuffix.size());
  return std::string(path);
}

Result<std::vector<std::string>> ReadPayloads(const JsonReader& json) {
  BOOST_LEAF_AUTO(records, json.Array("records"));
  std::vector<std::string> payloads;
  for (const json::value& it : *records) {
    BOOST_LEAF_AUTO(record, JsonReader::Of(it));
    BOOST_LEAF_AUTO(payload, record.String("payload"));
    payloads.push_back(std::move(payload));
  }
  return payloads;
}

json::object ToJson(const platform::ReadBatch& batch) {
  json::array records;
  for (const platform::StoredRecord& it : batch.records) {
    records.push_back(json::object{{"offset", it.offset.value()}, {"payload", it.payload}});
  }
  return {{"records", std::move(records)},
          {"tail", batch.tail.value()},
          {"oldest", batch.oldest.value()}};
}

}  // namespace

Result<std::unique_ptr<FakeLogServer>> FakeLogServer::Start(const std::string& listen) {
  std::unique_ptr<FakeLogServer> log(new FakeLogServer());
  BOOST_LEAF_ASSIGN(
      log->server_,
      FaultHttpServer::Start("fake-log", listen, {"expire_below"},
                             [it = log.get()](const net::HttpRequest& request, Reply reply) {
                               it->Handle(request, std::move(reply));
                             }));
  return log;
}

FakeLogServer::~FakeLogServer() {
  if (server_ != nullptr) {
    server_->Stop();
  }
}

void FakeLogServer::Handle(const net::HttpRequest& request, Reply reply) {
  if (request.target == "/v1/faults") {
    reply(AnswerWith(request.body, [this](const JsonReader& json) { return ChangeFaults(json); }));
    return;
  }
  const std::string stream = StreamOf(PathOf(request.target));
  if (stream.empty()) {
    reply({kNotFound, {}, "unknown path\n"});
  } else if (request.method == "POST") {
    reply(Append(stream, request.body));
    WakeReaders(stream);
  } else {
    Read(stream, request.target, std::move(reply));
  }
}

net::HttpResponse FakeLogServer::Append(const std::string& stream, const std::string& body) {
  return AnswerWith(body, [&](const JsonReader& json) -> Result<net::HttpResponse> {
    BOOST_LEAF_AUTO(payloads, ReadPayloads(json));
    const LogOffset first = streams_[stream].Append(payloads);
    return JsonResponse({{"first_offset", first.value()}});
  });
}

void FakeLogServer::Read(const std::string& stream, const std::string& target, Reply reply) {
  const LogOffset from(QueryNumber(target, "from", 1));
  const std::size_t limit = QueryNumber(target, "limit", kDefaultLimit);
  const std::uint64_t wait_ms = std::min(QueryNumber(target, "wait_ms", 0), kMaxWaitMs);
  if (from <= streams_[stream].tail() || wait_ms == 0) {
    reply(Answer(stream, from, limit));
    return;
  }
  Wait({stream, from, limit, std::move(reply), boost::asio::steady_timer(server_->executor())},
       wait_ms);
}

void FakeLogServer::Wait(Waiter waiter, std::uint64_t wait_ms) {
  const auto it = waiters_.insert(waiters_.end(), std::move(waiter));
  it->deadline.expires_after(std::chrono::milliseconds(wait_ms));
  it->deadline.async_wait([this, it](const boost::system::error_code& ec) {
    // A cancelled timer belongs to a waiter that was answered and erased.
    if (ec) {
      return;
    }
    it->reply(Answer(it->stream, it->from, it->limit));
    waiters_.erase(it);
  });
}

void FakeLogServer::WakeReaders(const std::string& stream) {
  const LogOffset tail = streams_[stream].tail();
  for (auto it = waiters_.begin(); it != waiters_.end();) {
    // A timer that has expired answers the waiter itself: its handler can no longer be cancelled.
    const bool is_ready = it->stream == stream && it->from <= tail;
    if (is_ready && it->deadline.cancel() > 0) {
      it->reply(Answer(stream, it->from, it->limit));
      it = waiters_.erase(it);
    } else {
      ++it;
    }
  }
}

net::HttpResponse FakeLogServer::Answer(const std::string& stream, LogOffset from,
                                        std::size_t limit) {
  const StreamStore& store = streams_[stream];
  if (from < store.oldest()) {
    return {kGone, {}, "records have expired\n"};
  }
  return JsonResponse(ToJson(store.Read(from, limit)));
}

Result<net::HttpResponse> FakeLogServer::ChangeFaults(const JsonReader& json) {
  if (json.Has("expire_below")) {
    BOOST_LEAF_AUTO(offset, json.Number<std::uint64_t>("expire_below"));
    for (auto& [name, store] : streams_) {
      store.ExpireBelow(LogOffset(offset));
    }
  }
  return JsonResponse({});
}

}  // namespace clementineloom::fakes
