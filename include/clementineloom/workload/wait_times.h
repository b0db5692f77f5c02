#pragma once

#include <map>
#include <span>
#include <vector>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief Since when each waiting step has waited without a break. Thread safety: none.
class WaitTimes {
 public:
  /// @brief Notes all steps that wait at a time; the wait of any other step is over.
  /// Precondition: times do not decrease.
  void Note(SteadyTime now, std::span<const StepId> waiting);

  /// @brief The steps that have waited for at least a time at the last Note, in their order.
  [[nodiscard]] std::vector<StepId> LongerThan(Milliseconds time) const;

  /// @brief How long a step had waited at the last Note. Precondition: it was among its steps.
  [[nodiscard]] Milliseconds LengthOf(const StepId& step) const;

 private:
  SteadyTime noted_at_;
  std::map<StepId, SteadyTime> since_;
};

}  // namespace clementineloom::workload
