#pragma once

#include <algorithm>
#include <compare>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief How long a call that appends records may take before it is sent again. An immutable
/// value.
///
/// The store takes the appends of a topic one at a time and lets later ones wait. One that is sent
/// again while it waits takes a second place and delays all others, so that the timeout follows the
/// time in which the store answers.
/// Thread safety: may be used from any thread.
class AppendTimeout {
 public:
  /// For a store that answers within milliseconds, so that a lost answer is noticed soon.
  static constexpr workload::Milliseconds kMin{1'000};
  /// The store refuses appends that would wait longer than two seconds.
  static constexpr workload::Milliseconds kMax{2'500};

  /// @brief The shortest timeout, for an appender that has no answer yet.
  constexpr AppendTimeout() = default;

  /// @brief The timeout after one more answer. It grows at once and falls slowly.
  /// @param answer_time from the call to its answer
  [[nodiscard]] constexpr AppendTimeout WithAnswer(workload::Milliseconds answer_time) const {
    return AppendTimeout(std::max(answer_time, kDecayNumerator * answer_time_ / kDecayDenominator));
  }

  /// @brief The timeout after a call without an answer: twice as long, since a store that has
  /// become slow would time out the repeated call as well.
  [[nodiscard]] constexpr AppendTimeout WithoutAnswer() const {
    return AppendTimeout(2 * length() / kAnswerTimeFactor);
  }

  [[nodiscard]] constexpr workload::Milliseconds length() const {
    return std::clamp(kAnswerTimeFactor * answer_time_, kMin, kMax);
  }

  friend constexpr auto operator<=>(const AppendTimeout&, const AppendTimeout&) = default;

 private:
  // Multiple of the recent answer time after which an answer counts as lost.
  static constexpr int kAnswerTimeFactor = 12;
  static constexpr int kDecayNumerator = 7;
  static constexpr int kDecayDenominator = 8;

  constexpr explicit AppendTimeout(workload::Milliseconds answer_time)
      : answer_time_(answer_time) {}

  workload::Milliseconds answer_time_{0};
};

}  // namespace clementineloom::entry
