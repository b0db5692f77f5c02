#pragma once

#include <array>
#include <cstdint>
#include <vector>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "support/guarantee_accounting.h"
#include "support/packing_result.h"
#include "support/run_figures.h"

namespace clementineloom::bench {

/// @brief Collects the figures of a run. Thread safety: none.
class RunObserver {
 public:
  explicit RunObserver(GuaranteeAccounting accounting) : accounting_(accounting) {}

  void AddCompletion(SizeClass size_class, Duration time) {
    times_[static_cast<std::size_t>(size_class)].push_back(time);
  }

  /// @brief Notes what an event or a quarantine did to the guarantees.
  void AddEvent(const ClusterState& state);

  /// @brief Notes what the records since the last call did to them, all of them no events.
  void AddDecision(const ClusterState& state);

  /// @brief Notes the state that holds from `now` on, until the next call.
  void AddState(const ClusterState& state, Instant now);

  /// @brief The figures so far; those of the records and of the work are left at 0.
  [[nodiscard]] RunFigures Figures() const;

 private:
  // The measured properties of a state, each to be weighted with the time it held.
  struct Sample {
    bool has_waiting = false;
    double free = 0;
    double unusable = 0;
    double splintered = 0;
    double capacity = 0;
    double largest_placeable = 0;
  };

  void Accumulate(Instant now);
  void CountResult(const ClusterState& state);
  /// Whether the guarantees fitted at the last call and do not fit now.
  bool Breaks(PackingResult result);
  [[nodiscard]] static Sample Measure(const ClusterState& state);

  const GuaranteeAccounting accounting_;
  std::array<std::vector<Duration>, kSizeClasses> times_;
  Instant last_at_;
  Sample last_;
  Sample sums_;
  double waiting_time_ = 0;
  PackingResult last_result_ = PackingResult::kFits;
  RunFigures figures_;
};

}  // namespace clementineloom::bench
