#pragma once

#include <algorithm>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Measures for how long an owner has been asking workers without an answer from any of
/// them. Thread safety: none; use from one thread.
class WorkerSilence {
 public:
  /// Longest time between two checks that counts; the rest of a longer one, in which the process
  /// may have been suspended, does not.
  static constexpr Milliseconds kMaxCheckGap{500};

  /// @brief Notes an answer of any worker.
  void OnAnswer(SteadyTime now) {
    has_answered_ = true;
    length_ = SteadyTime::duration(0);
    checked_at_ = now;
  }

  /// @brief Notes whether there was anything to ask of a listed worker. Call periodically, at
  /// shorter intervals than kMaxCheckGap.
  void Check(SteadyTime now, bool is_asking) {
    const SteadyTime::duration passed = now - checked_at_.value_or(now);
    checked_at_ = now;
    length_ = is_asking ? length_ + std::min<SteadyTime::duration>(passed, kMaxCheckGap)
                        : SteadyTime::duration(0);
  }

  /// @brief Time of asking without an answer, up to the last check.
  [[nodiscard]] Milliseconds length() const {
    return std::chrono::duration_cast<Milliseconds>(length_);
  }

  /// @brief Whether any worker has ever answered.
  [[nodiscard]] bool has_answered() const { return has_answered_; }

 private:
  std::optional<SteadyTime> checked_at_;
  SteadyTime::duration length_{0};
  bool has_answered_ = false;
};

}  // namespace clementineloom::workload
