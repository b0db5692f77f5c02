#pragma once

#include "clementineloom/model/instant.h"
#include "scheduler/member_action.h"
#include "scheduler/member_step.h"
#include "scheduler/monotonic_time.h"

namespace clementineloom::scheduler {

/// @brief Progress of one gang member of an attempt. Used only by the task driver's thread.
struct MemberProgress {
  MemberStep step = MemberStep::kUnknown;
  MemberAction awaited = MemberAction::kNone;
  /// No command is sent before this time.
  MonotonicTime retry_at;
  MonotonicTime next_renewal;
  bool is_checkpointed = false;
  Duration run_time{0};
};

}  // namespace clementineloom::scheduler
