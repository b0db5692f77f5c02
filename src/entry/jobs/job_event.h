#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/steady_time.h"
#include "entry/jobs/job_event_kind.h"

namespace clementineloom::entry {

/// @brief The newest record of a job that an instance has read. An immutable value.
struct JobEvent {
  JobEventKind kind = JobEventKind::kSubmitted;
  /// When it was read; for one that was loaded, when the load ended.
  workload::SteadyTime read_at;
  /// Whether it was loaded, so that its age and its epoch are not known.
  bool is_loaded = false;
  /// Newest owner when it was read.
  std::uint64_t epoch = 0;
  /// Name of its task, and number of the task's last run; empty and 0 for a record of the job.
  std::string task;
  std::uint64_t run = 0;

  friend auto operator<=>(const JobEvent&, const JobEvent&) = default;
};

}  // namespace clementineloom::entry
