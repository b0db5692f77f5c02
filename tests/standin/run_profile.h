#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>

#include "clementineloom/workload/resources.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::standin {

/// @brief How the runs of a task behave on a stand-in worker. An immutable value.
struct RunProfile {
  workload::Milliseconds run_time{0};
  /// Number of members that must be present; 0 for a task outside of a gang.
  std::size_t gang_size = 0;
  workload::Resources resources{};
  /// Runs up to this number end as failed.
  std::uint64_t failing_runs = 0;

  friend auto operator<=>(const RunProfile&, const RunProfile&) = default;
};

}  // namespace clementineloom::standin
