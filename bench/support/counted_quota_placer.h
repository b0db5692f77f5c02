#pragma once

#include <optional>
#include <set>

#include "clementineloom/decision/first_fit_placer.h"
#include "clementineloom/model/log_offset.h"
#include "clementineloom/model/placement.h"
#include "clementineloom/state/cluster_state.h"
#include "support/queue_scope.h"

namespace clementineloom::bench {

/// @brief Baseline: strict FIFO, first fit, and quotas that only count accelerators.
///
/// A team's quota is the number of accelerators in its guarantees; QuotaLedger decides who may
/// borrow. Nothing is reclaimed. All placements are of kind kBorrowed, because a counted quota is
/// bound to no cell. Thread safety: none.
class CountedQuotaPlacer {
 public:
  explicit CountedQuotaPlacer(QueueScope scope) : scope_(scope) {}

  /// Precondition: the job is waiting. Places only the oldest job of a queue that the quotas admit.
  [[nodiscard]] std::optional<Placement> Place(const ClusterState& state, JobId job, Instant now);

 private:
  void FindHeads(const ClusterState& state);

  QueueScope scope_;
  FirstFitPlacer first_fit_;
  // Queue heads, cached by offset: recomputing them for each job would be quadratic.
  LogOffset heads_at_;
  std::set<JobId> heads_;
};

}  // namespace clementineloom::bench
