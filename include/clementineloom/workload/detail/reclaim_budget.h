#pragma once

#include <cstdint>
#include <set>
#include <utility>
#include <vector>

#include "clementineloom/workload/detail/guarantee_share.h"
#include "clementineloom/workload/detail/victim.h"
#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload::detail {

/// @brief Which urgent runs may still be stopped, so that no team falls below its guarantee.
///
/// Copies are independent, so that a set of stops can be tried on one. Thread safety: none.
class ReclaimBudget {
 public:
  /// @param shares of all teams, with what each holds before any stop
  explicit ReclaimBudget(std::vector<GuaranteeShare> shares) : shares_(std::move(shares)) {}

  /// @brief Whether a run may be stopped together with those that were chosen before. Less urgent
  /// runs always may. Complexity: O(chosen^2).
  [[nodiscard]] bool Allows(const Victim& victim, const std::vector<const Victim*>& chosen) const;

  /// @brief Records a stop; the stop of a gang counts once.
  void Stop(const Victim& victim);

 private:
  // The members of a gang share step and run number.
  using GangKey = std::pair<StepId, std::uint64_t>;

  [[nodiscard]] bool IsStopped(const Victim& victim) const;

  std::vector<GuaranteeShare> shares_;
  std::set<GangKey> gangs_;
};

}  // namespace clementineloom::workload::detail
