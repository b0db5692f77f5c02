#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/advice_times.h"

namespace clementineloom::workload {

/// Queues of this priority are urgent: they may stop the runs of others.
inline constexpr std::uint32_t kPreemptingPriority = 0;

/// @brief A queue of jobs and the path under which callers reach it. An immutable value.
struct Queue {
  std::string name;
  std::string host;
  std::string path_prefix;
  /// Service whose workers run its tasks.
  std::string service;
  /// 0 comes first.
  std::uint32_t priority = 0;
  /// Runs of a task that may end as failed.
  std::uint32_t max_attempts = 1;
  /// Upper target for the run time of a job, as a multiple of its critical path.
  double stretch = 1.0;
  std::int64_t target_latency_ms = 0;
  /// Callers need no key.
  bool is_public = false;
  /// Workers need the approval of the advice service.
  bool needs_advice = false;
  /// How long that service takes; zero for a queue that needs none.
  AdviceTimes advice_times{};

  friend auto operator<=>(const Queue&, const Queue&) = default;
};

}  // namespace clementineloom::workload
