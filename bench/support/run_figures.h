#pragma once

#include <array>
#include <cstdint>

#include "support/completion_figures.h"
#include "support/size_class.h"

namespace clementineloom::bench {

/// @brief Results of one run of a policy over a workload.
struct RunFigures {
  CompletionFigures all;
  std::array<CompletionFigures, kSizeClasses> by_size;
  /// Share of the free accelerator time, while jobs wait, that the largest waiting shape could not
  /// use.
  double fragmentation = 0;
  /// The same share, counting as unusable only what lies on workers with fewer free accelerators
  /// than the shape needs of each worker. `fragmentation` is 1 for every policy that places what
  /// it can, because the largest waiting shape then fits nowhere; this figure distinguishes them.
  double worker_fragmentation = 0;
  /// The same time as a share of the capacity in service, so that policies that leave
  /// different amounts free can be compared.
  double stranded_capacity = 0;
  /// Mean accelerators of the largest gang of whole workers of a rack that could be placed while
  /// jobs wait.
  double largest_placeable = 0;
  /// Accelerator hours of kept work while the data centre is out of service and for
  /// kRecoveryTime (run_world.cc) after its return.
  double work_in_change = 0;
  /// Points in time at which a guarantee could not be reclaimed, while all workers were in service.
  std::uint64_t unreclaimable = 0;
  /// The same while a worker was lost or the data centre was out of service.
  std::uint64_t unreclaimable_reduced = 0;
  /// How often guarantees became unreclaimable because of placements.
  std::uint64_t broken_by_placement = 0;
  /// How often they became unreclaimable because a worker was lost or quarantined, or the data
  /// centre left service.
  std::uint64_t broken_by_event = 0;
  std::uint64_t reclaim_undecided = 0;
  std::uint64_t reclaim_checks = 0;
  std::uint64_t refused = 0;
  std::uint64_t failed = 0;
  std::uint64_t unfinished = 0;
  std::uint64_t records = 0;
  std::uint64_t void_records = 0;
  std::uint64_t stops = 0;

  friend auto operator<=>(const RunFigures&, const RunFigures&) = default;
};

}  // namespace clementineloom::bench
