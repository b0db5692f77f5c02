#pragma once

#include "clementineloom/workload/hand_over_inputs.h"
#include "clementineloom/workload/owner_contact.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Decides when an owner that the store confirms but that reaches no worker resigns, so that
/// an instance which does reach them renews the leases before they end.
///
/// The owner cannot tell a fault of its own network from one of all workers. In the second case
/// its successor reaches none either, so that only the first hand-over comes soon.
/// Thread safety: pure functions.
struct OwnerHandOver {
  /// Covers a long poll without an answer and the answer to its repetition. The rest of the
  /// shortest lease is for the successor.
  static constexpr Milliseconds kMaxSilence{2'500};
  /// The same for an owner that no worker has ever answered, or whose instance handed over within
  /// kRest: bounds the rate of hand-overs while no instance reaches a worker.
  static constexpr Milliseconds kMaxLongSilence{30'000};
  /// Time after a hand-over in which the instance claims later than its peers.
  static constexpr Milliseconds kRest{60'000};
  /// How much later, right after the hand-over; longer than the claims of its peers are spread.
  static constexpr Milliseconds kMaxClaimDelay{1'500};
  /// From this silence on idle workers are asked too; longer than a poll waits for the end of a
  /// run, and leaves time for their answers before kMaxSilence.
  static constexpr Milliseconds kIdleAskedAfter{1'500};

  /// @brief The silence after which the owner hands over.
  [[nodiscard]] static Milliseconds LimitOf(const HandOverInputs& inputs) {
    const bool is_resting = inputs.since_hand_over && *inputs.since_hand_over < kRest;
    return inputs.has_answered && !is_resting ? kMaxSilence : kMaxLongSilence;
  }

  /// @brief How much later than its peers an instance claims after a hand-over. The delay shrinks
  /// until the rest ends, so that instances which handed over one after the other claim in that
  /// order.
  [[nodiscard]] static Milliseconds ClaimDelay(Milliseconds since_hand_over) {
    return since_hand_over < kRest
               ? kMaxClaimDelay * (kRest - since_hand_over).count() / kRest.count()
               : Milliseconds(0);
  }

  /// @brief Whether the owner hands over now. An owner that the store does not confirm is subject
  /// to OwnerContact instead.
  [[nodiscard]] static bool IsDue(const HandOverInputs& inputs) {
    return inputs.has_work && inputs.has_peers && inputs.unconfirmed <= OwnerContact::kGrace &&
           inputs.silence >= LimitOf(inputs);
  }
};

}  // namespace clementineloom::workload
