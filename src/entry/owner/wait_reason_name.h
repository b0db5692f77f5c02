#pragma once

#include <string_view>

#include "clementineloom/workload/wait_reason.h"

namespace clementineloom::entry {

/// @brief The name of a reason in the log.
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr std::string_view WaitReasonName(workload::WaitReason reason) {
  switch (reason) {
    case workload::WaitReason::kHeldRuns:
      return "held_runs";
    case workload::WaitReason::kQuota:
      return "quota";
    case workload::WaitReason::kRoom:
      return "room";
    case workload::WaitReason::kAdvice:
      return "advice";
    case workload::WaitReason::kReserve:
      return "reserve";
    case workload::WaitReason::kDataRack:
      return "data_rack";
    case workload::WaitReason::kOneRack:
      return "one_rack";
    case workload::WaitReason::kClaims:
      return "claims";
    case workload::WaitReason::kNextPlan:
      return "next_plan";
  }
  return {};
}

}  // namespace clementineloom::entry
