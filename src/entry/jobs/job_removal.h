#pragma once

#include <compare>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Why and when a job was removed from an instance's view. An immutable value.
struct JobRemoval {
  /// "record": the removal of its submission was read. "reload": a load of all jobs lacked it.
  const char* cause = "";
  workload::SteadyTime at;

  friend auto operator<=>(const JobRemoval&, const JobRemoval&) = default;
};

}  // namespace clementineloom::entry
