#pragma once

#include "clementineloom/state/cluster_state.h"
#include "support/guarantee_accounting.h"
#include "support/packing_result.h"
#include "support/reclaim.h"

namespace clementineloom::bench {

/// @brief Tells whether the guarantees of all teams can be met at the same time by stopping only
/// borrowed work. Deliberately independent of the library's own check.
///
/// Guarantees that would not fit the workers in service even without any job are not caused
/// by the policy and count as kFits. Thread safety: none.
class ReclaimCheck {
 public:
  explicit ReclaimCheck(GuaranteeAccounting accounting) : accounting_(accounting) {}

  [[nodiscard]] PackingResult Check(const ClusterState& state);

 private:
  GuaranteeAccounting accounting_;
  // Input and result of the last search, cached because most events do not change the input.
  Reclaim last_;
  PackingResult last_result_ = PackingResult::kFits;
};

}  // namespace clementineloom::bench
