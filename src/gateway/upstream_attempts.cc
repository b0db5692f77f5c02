#include "gateway/upstream_attempts.h"

#include <algorithm>
#include <utility>

namespace clementineloom::gateway {

bool UpstreamAttempts::Send(CallerRequest& request, const Upstream& upstream, MonotonicTime now) {
  const net::CallId call(++last_call_);
  ++request.attempts;
  net::ClientCall message{call, upstream.address, request.request, TimeoutOf(request, now)};
  if (!request.is_idempotent) {
    message.max_idle = kMaxIdleNonIdempotent;
  }
  if (!upstreams_.Send(std::move(message))) {
    return false;
  }
  outstanding_.Add(upstream.worker);
  teams_.Add(request.team);
  in_progress_.emplace(call, InProgress{std::move(request), upstream.worker});
  return true;
}

CallerRequest UpstreamAttempts::End(const net::CallId& call,
                                    const std::optional<Refusal>& refusal) {
  auto node = in_progress_.extract(call);
  auto& [request, worker] = node.mapped();
  NoteHealth(worker, refusal);
  outstanding_.Remove(worker);
  teams_.Remove(request.team);
  if (refusal) {
    request.failed_at.push_back(worker);
    request.may_have_run |= refusal->run_state != RunState::kDidNotRun;
  }
  return std::move(request);
}

// An attempt that can be retried leaves an equal share of the time for each further attempt.
std::chrono::milliseconds UpstreamAttempts::TimeoutOf(const CallerRequest& request,
                                                      MonotonicTime now) const {
  const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
      request.received_at + options_.request_timeout - now);
  const std::uint32_t attempts_left =
      request.is_idempotent && request.attempts < options_.max_attempts
          ? options_.max_attempts - request.attempts + 1
          : 1;
  return std::max(time_left / attempts_left, std::chrono::milliseconds(1));
}

void UpstreamAttempts::NoteHealth(WorkerId worker, const std::optional<Refusal>& refusal) {
  if (!refusal) {
    outstanding_.Answered(worker);
  } else if (refusal->code == ResultCode::kUpstreamFailed &&
             refusal->run_state == RunState::kDidNotRun) {
    outstanding_.Failed(worker);
  }
}

}  // namespace clementineloom::gateway
