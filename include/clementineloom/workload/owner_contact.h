#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Bounds how long two owners may both renew leases.
///
/// The store fences an owner that has been replaced, unless it cannot reach the store. Such an
/// owner continues only while it reaches more than half of the workers: a new owner that also
/// reaches more than half shares at least one worker with it, and that worker reports the higher
/// epoch at the earlier owner's next call.
/// Thread safety: pure functions.
struct OwnerContact {
  /// Time without the store for which an owner need not reach the majority.
  static constexpr Milliseconds kGrace{2'000};
  /// A worker that answered a call sent within this time counts as reached.
  static constexpr Milliseconds kWindow{2'500};
  /// Longest time without the store in any case.
  static constexpr Milliseconds kMaxUnconfirmed{12'000};

  /// @brief Whether an owner may continue.
  /// @param unconfirmed time since the store last confirmed the epoch
  [[nodiscard]] static bool MayContinue(Milliseconds unconfirmed, std::size_t reached,
                                        std::size_t workers) {
    if (unconfirmed <= kGrace + kWindow) {
      return true;
    }
    return unconfirmed <= kMaxUnconfirmed && 2 * reached > workers;
  }

  /// @brief When no earlier owner renews leases any more.
  /// @param took_over_at when the store fenced the earlier owners
  /// @param majority_at when this owner had reached more than half of the workers
  [[nodiscard]] static SteadyTime EarlierOwnersEndedAt(SteadyTime took_over_at,
                                                       std::optional<SteadyTime> majority_at) {
    const SteadyTime latest = took_over_at + kMaxUnconfirmed;
    if (!majority_at) {
      return latest;
    }
    return std::min(latest, std::max(took_over_at + kGrace, *majority_at) + kWindow);
  }
};

}  // namespace clementineloom::workload
