#include "platform/http_log_client.h"

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <utility>

#include "codec/detail/json_reader.h"
#include "platform/detail/refused_run_state.h"
#include "platform/log_client.h"

namespace clementineloom::platform {
namespace {

namespace json = boost::json;
using codec::detail::JsonReader;

constexpr int kOk = 200;
constexpr int kGone = 410;

std::string StreamTarget(std::string_view stream) {
  return "/v1/streams/" + std::string(stream) + "/records";
}

Result<ReadBatch> ReadBatchOf(const json::value& value) {
  BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
  ReadBatch batch;
  BOOST_LEAF_AUTO(tail, reader.Number<std::uint64_t>("tail"));
  BOOST_LEAF_AUTO(oldest, reader.Number<std::uint64_t>("oldest"));
  BOOST_LEAF_AUTO(records, reader.Array("records"));
  batch.tail = LogOffset(tail);
  batch.oldest = LogOffset(oldest);
  for (const json::value& it : *records) {
    BOOST_LEAF_AUTO(record, JsonReader::Of(it));
    BOOST_LEAF_AUTO(offset, record.Number<std::uint64_t>("offset"));
    BOOST_LEAF_AUTO(payload, record.String("payload"));
    batch.records.push_back({LogOffset(offset), std::move(payload)});
  }
  return batch;
}

Result<LogOffset> ReadFirstOffset(const json::value& value) {
  BOOST_LEAF_AUTO(reader, JsonReader::Of(value));
  BOOST_LEAF_AUTO(offset, reader.Number<std::uint64_t>("first_offset"));
  return LogOffset(offset);
}

// Parses an answer; empty if the body is malformed.
template <class T>
std::optional<T> Parse(const std::string& body, Result<T> (*read)(const json::value&)) {
  boost::system::error_code ec;
  const json::value value = json::parse(body, ec);
  if (ec) {
    return std::nullopt;
  }
  return CatchRefusal(
      [&]() -> Result<std::optional<T>> {
        BOOST_LEAF_AUTO(parsed, read(value));
        return std::optional<T>(std::move(parsed));
      },
      [](const Refusal&) { return std::optional<T>(); });
}

auto RefuseAppend(RunState run_state, const std::string& detail) {
  const bool did_not_run = run_state == RunState::kDidNotRun;
  return Refuse(did_not_run ? ResultCode::kLogUnavailable : ResultCode::kAppendUnknown, detail,
                run_state);
}

}  // namespace

static_assert(LogClient<HttpLogClient>);

HttpLogClient::HttpLogClient(const std::string& thread_name, std::vector<std::string> addresses,
                             std::chrono::milliseconds timeout)
    : http_(thread_name), addresses_(std::move(addresses)), timeout_(timeout) {}

Result<LogOffset> HttpLogClient::Append(std::string_view stream,
                                        const std::vector<std::string>& payloads) {
  json::array records;
  for (const std::string& it : payloads) {
    records.push_back(json::object{{"payload", it}});
  }
  const json::object body{{"records", std::move(records)}};
  std::optional<net::HttpResponse> response;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(
        answer,
        http_.Call(address(), {"POST", StreamTarget(stream), {}, json::serialize(body)}, timeout_));
    response.emplace(std::move(answer));
    return {};
  });
  if (refusal) {
    UseNextAddress();
    return RefuseAppend(refusal->run_state, refusal->detail);
  }
  if (response->status != kOk) {
    UseNextAddress();
    return RefuseAppend(detail::RefusedRunState(*response),
                        "status " + std::to_string(response->status));
  }
  if (const auto offset = Parse<LogOffset>(response->body, ReadFirstOffset)) {
    return *offset;
  }
  return RefuseAppend(RunState::kMayHaveRun, "unreadable answer");
}

Result<ReadBatch> HttpLogClient::Read(std::string_view stream, LogOffset from, std::size_t limit,
                                      std::chrono::milliseconds wait) {
  const std::string target = StreamTarget(stream) + "?from=" + std::to_string(from.value()) +
                             "&limit=" + std::to_string(limit) +
                             "&wait_ms=" + std::to_string(wait.count());
  std::optional<net::HttpResponse> response;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(answer, http_.Call(address(), {"GET", target, {}, {}}, timeout_ + wait));
    response.emplace(std::move(answer));
    return {};
  });
  if (refusal) {
    UseNextAddress();
    return Refuse(ResultCode::kLogUnavailable, refusal->detail);
  }
  if (response->status == kGone) {
    return Refuse(ResultCode::kRecordsExpired, "from " + std::to_string(from.value()));
  }
  if (response->status == kOk) {
    if (auto batch = Parse<ReadBatch>(response->body, ReadBatchOf)) {
      return std::move(*batch);
    }
  }
  UseNextAddress();
  return Refuse(ResultCode::kLogUnavailable, "status " + std::to_string(response->status));
}

}  // namespace clementineloom::platform
