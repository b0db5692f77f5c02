#include "platform/worker_client.h"

#include <boost/json/serialize.hpp>
#include <cstdint>
#include <optional>
#include <utility>

#include "platform/detail/parse_answer.h"
#include "platform/detail/refused_run_state.h"
#include "platform/detail/task_json.h"
#include "platform/detail/worker_refusal_code.h"

namespace clementineloom::platform {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;

auto Unreadable(const std::string& address) {
  return Refuse(ResultCode::kWorkerRefused, address + ": unreadable answer", RunState::kMayHaveRun);
}

}  // namespace

WorkerClient::WorkerClient(const std::string& thread_name, std::chrono::milliseconds timeout)
    : http_(thread_name), timeout_(timeout) {}

Result<std::string> WorkerClient::Call(const std::string& address, net::HttpRequest request) {
  std::optional<net::HttpResponse> response;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(answer, http_.Call(address, std::move(request), timeout_));
    response.emplace(std::move(answer));
    return {};
  });
  if (refusal) {
    return Refuse(ResultCode::kWorkerUnreachable, refusal->detail, refusal->run_state);
  }
  if (response->status != kOk) {
    return Refuse(detail::WorkerRefusalCode(response->body),
                  address + ": status " + std::to_string(response->status),
                  detail::RefusedRunState(*response));
  }
  return std::move(response->body);
}

Result<TaskReport> WorkerClient::Command(const std::string& address, const std::string& target,
                                         std::string body) {
  BOOST_LEAF_AUTO(answer, Call(address, {"POST", target, {}, std::move(body)}));
  const auto report = detail::ParseAnswer<TaskReport>(answer, detail::ReadTaskReport);
  if (!report) {
    return Unreadable(address);
  }
  return *report;
}

Result<TaskReport> WorkerClient::Reserve(const std::string& address,
                                         const ReserveCommand& command) {
  return Command(address, "/v1/tasks/reserve", json::serialize(detail::ToJson(command)));
}

Result<TaskReport> WorkerClient::Start(const std::string& address, const StartCommand& command) {
  return Command(address, "/v1/tasks/start", json::serialize(detail::ToJson(command)));
}

Result<TaskReport> WorkerClient::Renew(const std::string& address, const RenewCommand& command) {
  return Command(address, "/v1/tasks/renew", json::serialize(detail::ToJson(command)));
}

Result<TaskReport> WorkerClient::Checkpoint(const std::string& address, const TaskKey& key) {
  return Command(address, "/v1/tasks/checkpoint", json::serialize(detail::ToJson(key)));
}

Result<TaskReport> WorkerClient::Stop(const std::string& address, const TaskKey& key) {
  return Command(address, "/v1/tasks/stop", json::serialize(detail::ToJson(key)));
}

Result<WorkerReport> WorkerClient::Tasks(const std::string& address) {
  BOOST_LEAF_AUTO(answer, Call(address, {"GET", "/v1/tasks", {}, {}}));
  auto report = detail::ParseAnswer<WorkerReport>(answer, detail::ReadWorkerReport);
  if (!report) {
    return Unreadable(address);
  }
  return std::move(*report);
}

}  // namespace clementineloom::platform
