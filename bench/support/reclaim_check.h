#pragma once

#include "clementineloom/state/cluster_state.h"
#include "support/guarantee_accounting.h"
#include "support/packing_result.h"
#include "support/reclaim.h"

namespace clementineloom::bench {

/// @brief Tells whether all guarantees of all teams can be had at the same time by stopping only
/// borrowed work; written apart from the project's own check.
///
/// Guarantees that would not fit the workers in service even without any job are no fault of a
/// policy, and count as kFits. Thread safety: none.
class ReclaimCheck {
 public:
  explicit ReclaimCheck(GuaranteeAccounting accounting) : accounting_(accounting) {}

  [[nodiscard]] PackingResult Check(const ClusterState& state);

 private:
  GuaranteeAccounting accounting_;
  // The last search: most events change nothing that it depends on.
  Reclaim last_;
  PackingResult last_result_ = PackingResult::kFits;
};

}  // namespace clementineloom::bench
