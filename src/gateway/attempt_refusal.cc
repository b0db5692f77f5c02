#include "gateway/attempt_refusal.h"

#include "clementineloom/errors/run_state_name.h"

namespace clementineloom::gateway {
namespace {

constexpr int kServiceUnavailable = 503;

}  // namespace

std::optional<Refusal> AttemptRefusal(const net::ClientResult& result) {
  if (!result.response) {
    return result.refusal;
  }
  const net::HttpResponse& response = *result.response;
  if (response.status == kServiceUnavailable &&
      response.headers.Find("X-Run-State") == RunStateName(RunState::kDidNotRun)) {
    return Refusal{ResultCode::kWorkerRefused, RunState::kDidNotRun, "refused by the worker"};
  }
  return std::nullopt;
}

}  // namespace clementineloom::gateway
