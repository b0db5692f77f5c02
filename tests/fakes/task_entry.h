#pragma once

#include "clementineloom/model/instant.h"
#include "platform/task_report.h"

namespace clementineloom::fakes {

/// @brief The state of a task on the worker stand-in.
struct TaskEntry {
  platform::TaskReport report;
  /// End of the reservation or of the lease.
  Instant deadline;
  Instant started_at;
  Duration planned_run_time{0};
  bool will_fail = false;
};

}  // namespace clementineloom::fakes
