#pragma once

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Durations that the components of an owner share.
struct OwnerTiming {
  /// Workers answer orders immediately; an order without an answer for this long has timed out.
  static constexpr workload::Milliseconds kOrderTimeout{700};
  /// Pause before an order without an answer is repeated.
  static constexpr workload::Milliseconds kOrderRetryDelay{300};
  /// No new runs are placed for this time on a worker that refused an order, failed a run or did
  /// not answer.
  static constexpr workload::Milliseconds kFailureBackoff{1'000};
  /// Longest time for which a job may have nothing running beside idle workers with room for it.
  static constexpr workload::Milliseconds kMaxStandstill{3'000};
  /// The back-off of a worker that failed runs of several jobs in a row, on which a run stalled, or
  /// that answers no orders. All workers may be in it at once, so that it ends in time for an order
  /// that has to be repeated.
  static constexpr workload::Milliseconds kLongBackoff =
      kMaxStandstill - kOrderTimeout - kOrderRetryDelay;
  /// A worker that answered a call sent within this time is still the same incarnation: no worker
  /// can restart and end a run faster.
  static constexpr workload::Milliseconds kIncarnationKnownFor{500};
};

}  // namespace clementineloom::entry
