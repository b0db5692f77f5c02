#include "platform/http_worker_channel.h"

#include <boost/json/object.hpp>
#include <boost/json/serialize.hpp>
#include <utility>

#include "platform/detail/parse_answer.h"
#include "platform/detail/refused_run_state.h"
#include "platform/detail/task_json.h"
#include "platform/detail/worker_refusal_code.h"
#include "platform/worker_channel.h"

namespace clementineloom::platform {
namespace {

namespace json = boost::json;

constexpr int kOk = 200;

struct Target {
  std::string operator()(const ReserveCommand&) const { return "/v1/tasks/reserve"; }
  std::string operator()(const StartCommand&) const { return "/v1/tasks/start"; }
  std::string operator()(const RenewCommand&) const { return "/v1/tasks/renew"; }
  std::string operator()(const CheckpointCommand&) const { return "/v1/tasks/checkpoint"; }
  std::string operator()(const StopCommand&) const { return "/v1/tasks/stop"; }
};

struct Body {
  json::object operator()(const CheckpointCommand& it) const { return detail::ToJson(it.key); }
  json::object operator()(const StopCommand& it) const { return detail::ToJson(it.key); }
  template <class Command>
  json::object operator()(const Command& it) const {
    return detail::ToJson(it);
  }
};

WorkerResult ResultOf(const net::ClientResult& result) {
  if (!result.response) {
    return {result.id, Refusal{ResultCode::kWorkerUnreachable, result.refusal->run_state,
                               result.refusal->detail}};
  }
  const net::HttpResponse& response = *result.response;
  if (response.status != kOk) {
    return {result.id,
            Refusal{detail::WorkerRefusalCode(response.body), detail::RefusedRunState(response),
                    "status " + std::to_string(response.status)}};
  }
  auto report = detail::ParseAnswer<TaskReport>(response.body, detail::ReadTaskReport);
  if (!report) {
    return {result.id,
            Refusal{ResultCode::kWorkerRefused, RunState::kMayHaveRun, "unreadable answer"}};
  }
  return {result.id, *report};
}

}  // namespace

static_assert(WorkerChannel<HttpWorkerChannel>);

HttpWorkerChannel::HttpWorkerChannel(const std::string& thread_name,
                                     std::chrono::milliseconds timeout, Sink sink)
    : timeout_(timeout),
      http_(thread_name, {},
            [sink = std::move(sink)](const net::ClientResult& result) { sink(ResultOf(result)); }) {
}

bool HttpWorkerChannel::Send(const WorkerCall& call) {
  net::HttpRequest request{"POST",
                           std::visit(Target{}, call.command),
                           {},
                           json::serialize(std::visit(Body{}, call.command))};
  return http_.Send({call.id, call.address, std::move(request), timeout_});
}

}  // namespace clementineloom::platform
