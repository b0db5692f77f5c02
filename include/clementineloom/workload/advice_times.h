#pragma once

#include <algorithm>
#include <compare>
#include <cstddef>
#include <cstdint>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief How long the advice service works on a question, as the queue names it. An immutable
/// value.
struct AdviceTimes {
  /// For any question; not negative.
  std::int64_t decision_ms = 0;
  /// For each worker that it names; not negative.
  std::int64_t per_worker_ms = 0;

  friend auto operator<=>(const AdviceTimes&, const AdviceTimes&) = default;

  /// @brief Time of an answer about a number of workers.
  [[nodiscard]] Milliseconds AnswerTime(std::size_t workers) const {
    return Milliseconds(decision_ms + per_worker_ms * static_cast<std::int64_t>(workers));
  }

  /// @brief The most workers, up to max_workers, about which the service answers within a time.
  [[nodiscard]] std::size_t WorkersWithin(Milliseconds time, std::size_t max_workers) const {
    const std::int64_t left_ms = time.count() - decision_ms;
    if (left_ms < 0) {
      return 0;
    }
    return per_worker_ms == 0 ? max_workers
                              : std::min(max_workers, static_cast<std::size_t>(left_ms) /
                                                          static_cast<std::size_t>(per_worker_ms));
  }
};

}  // namespace clementineloom::workload
