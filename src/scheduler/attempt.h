#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/model/job_phase.h"
#include "clementineloom/state/stop_reason.h"
#include "platform/task_key.h"
#include "scheduler/gang_member.h"

namespace clementineloom::scheduler {

/// @brief An attempt that holds accelerators, as the decision duty passes it to the task driver.
///
/// An immutable value.
struct Attempt {
  platform::TaskKey key;
  /// kPlaced, kRunning or kStopping.
  JobPhase phase = JobPhase::kPlaced;
  StopReason stop_reason = StopReason::kNone;
  /// Why the attempt has to stop although no stop was requested yet; kNone if it may continue.
  StopReason due_stop = StopReason::kNone;
  std::string command;
  std::vector<GangMember> members;

  friend auto operator<=>(const Attempt&, const Attempt&) = default;
};

}  // namespace clementineloom::scheduler
