#pragma once

#include <cstdint>

#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief When a step may ask the advice service, relative to others.
///
/// The step that has waited longest since its last question comes first, so that a question without
/// answer, or many questions of one step, hold up no other step. Urgent steps count their wait
/// several times. An immutable value.
struct AdviceTurn {
  /// Wait since the last question, or since the job was due; weighted.
  std::int64_t weighted_wait_ms = 0;

  [[nodiscard]] static AdviceTurn Of(const StartCandidate& step, const PlanRequest& request);

  [[nodiscard]] bool IsBefore(const AdviceTurn& other) const {
    return weighted_wait_ms > other.weighted_wait_ms;
  }

  friend auto operator<=>(const AdviceTurn&, const AdviceTurn&) = default;
};

}  // namespace clementineloom::workload::detail
