#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "support/guarantee_accounting.h"
#include "support/packing_result.h"
#include "support/reclaim_check.h"
#include "support/run_figures.h"

namespace clementineloom::bench {

/// @brief Collects the figures of a run. Thread safety: none.
class RunObserver {
 public:
  explicit RunObserver(GuaranteeAccounting accounting) : check_(accounting) {}

  void AddCompletion(SizeClass size_class, Duration time) {
    times_[static_cast<std::size_t>(size_class)].push_back(time);
  }

  /// @brief Records the effect of an event or a quarantine on the guarantees.
  void AddEvent(const ClusterState& state);

  /// @brief Records the effect of the decisions since the last call on the guarantees.
  /// Precondition: only decisions other than quarantines were applied since the last call of
  /// AddEvent or AddDecision.
  void AddDecision(const ClusterState& state);

  /// @brief Records the state that holds from `now` until the next call.
  void AddState(const ClusterState& state, Instant now);

  /// @brief The figures so far; the counts of records and the work are left at 0.
  [[nodiscard]] RunFigures Figures() const;

 private:
  // Measured properties of a state; sums weight each with the time for which it held.
  struct Sample {
    bool has_waiting = false;
    double free = 0;
    double unusable = 0;
    double fragmented = 0;
    double capacity = 0;
    double largest_placeable = 0;
  };

  void Accumulate(Instant now);
  void CountResult(const ClusterState& state);
  /// Whether the guarantees fitted at the last call and do not fit now.
  bool BecomesUnreclaimable(PackingResult result);
  [[nodiscard]] static Sample Measure(const ClusterState& state);

  ReclaimCheck check_;
  std::array<std::vector<Duration>, kSizeClasses> times_;
  Instant last_at_;
  Sample last_;
  Sample sums_;
  double waiting_time_ = 0;
  PackingResult last_result_ = PackingResult::kFits;
  RunFigures figures_;
};

}  // namespace clementineloom::bench
