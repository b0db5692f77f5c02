#pragma once

#include <string>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_spec.h"
#include "support/size_class.h"

namespace clementineloom::bench {

/// @brief A job of a workload, with its true run time, which is hidden from the scheduler.
struct Arrival {
  std::string key;
  JobSpec spec;
  Instant at;
  Duration run_time{0};
  SizeClass size_class = SizeClass::kSmall;
  /// Whether the configured capacity can hold it.
  bool can_run = true;

  friend auto operator<=>(const Arrival&, const Arrival&) = default;
};

}  // namespace clementineloom::bench
