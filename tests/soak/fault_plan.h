#pragma once

#include <chrono>
#include <compare>
#include <cstdint>
#include <set>
#include <vector>

#include "soak/fault_kind.h"
#include "soak/planned_fault.h"

namespace clementineloom::soak {

/// @brief The faults of a soak in the order of their times. An immutable value.
class FaultPlan {
 public:
  /// @brief Draws faults of the given kinds, 0.5 to 2.5 s apart, and the loss of all power
  /// once, at half of the time. The same arguments give the same
  /// plan.
  [[nodiscard]] static FaultPlan Make(std::uint64_t seed, std::chrono::seconds length,
                                      const std::set<FaultKind>& kinds);

  [[nodiscard]] const std::vector<PlannedFault>& faults() const { return faults_; }

  friend auto operator<=>(const FaultPlan&, const FaultPlan&) = default;

 private:
  std::vector<PlannedFault> faults_;
};

}  // namespace clementineloom::soak
