#include "gateway/admission.h"

namespace clementineloom::gateway {

std::optional<Refusal> Admission::Check(const CallerRequest& request, MonotonicTime now) const {
  if (view_.routing().upstreams().empty()) {
    return Refusal{ResultCode::kNoUpstream, RunState::kDidNotRun, "no worker is in service"};
  }
  if (!view_.IsFresh(now)) {
    return Refusal{ResultCode::kViewStale, RunState::kDidNotRun, "the log cannot be read"};
  }
  if (!LimitOf(request.team)) {
    return Refusal{ResultCode::kUnknownTeam, RunState::kDidNotRun, request.team};
  }
  return std::nullopt;
}

bool Admission::IsBelowTeamLimit(const std::string& team) const {
  return teams_.At(team) < LimitOf(team).value_or(0);
}

Refusal Admission::WaitTimeoutRefusal(const CallerRequest& request, MonotonicTime now) const {
  if (const auto refusal = Check(request, now)) {
    return *refusal;
  }
  if (!IsBelowTeamLimit(request.team)) {
    return {ResultCode::kTeamLimitReached, RunState::kDidNotRun, request.team};
  }
  return {ResultCode::kOverloaded, RunState::kDidNotRun, "no slot became free in time"};
}

std::optional<std::uint32_t> Admission::LimitOf(const std::string& team) const {
  if (team.empty()) {
    return options_.anonymous_limit;
  }
  return view_.routing().LimitOf(team);
}

}  // namespace clementineloom::gateway
