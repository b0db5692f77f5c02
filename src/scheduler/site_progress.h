#pragma once

#include "clementineloom/model/instant.h"
#include "scheduler/monotonic_time.h"
#include "scheduler/site_action.h"
#include "scheduler/site_step.h"

namespace clementineloom::scheduler {

/// @brief Progress of one site of an attempt. Used only by the task driver's thread.
struct SiteProgress {
  SiteStep step = SiteStep::kUnknown;
  SiteAction awaited = SiteAction::kNone;
  /// No command is sent before this time.
  MonotonicTime retry_at;
  MonotonicTime next_renewal;
  bool is_checkpointed = false;
  Duration run_time{0};
};

}  // namespace clementineloom::scheduler
