#pragma once

#include <compare>
#include <cstdint>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief The copies of a run's order to start, and until when one that had no answer may still be
/// carried out. Thread safety: none; use from one thread.
///
/// A worker that has restarted since carries out such a copy whatever became of the run: it knows
/// neither its stop nor its end.
class StartCopies {
 public:
  /// The platform carries orders out up to 12 s late; clocks differ by 2%.
  static constexpr Milliseconds kMaxDelay{12'300};

  friend auto operator<=>(const StartCopies&, const StartCopies&) = default;

  /// @brief Notes that a copy was sent.
  void OnSent(SteadyTime now) {
    ++unanswered_;
    is_refused_ = false;
    last_sent_at_ = now;
  }
  /// @brief Notes that the last copy was refused or did not leave. Precondition: it was sent.
  void OnNotCarriedOut() { --unanswered_; }
  /// @brief Notes an answer that the run is there. Precondition: the last copy was sent.
  void OnCarriedOut() {
    --unanswered_;
    is_answered_ = true;
  }
  /// @brief Notes that the worker has listed the run, running or ended.
  void OnListed() { is_listed_ = true; }
  /// @brief Notes that an incarnation which began after all copies were sent refuses the run.
  void OnRefusedAfterRestart() { is_refused_ = true; }
  /// @brief Notes an answered poll. Copies sent before a failed poll were lost with the connection,
  /// which a restarted worker does not inherit; later ones are late.
  /// @param last_failure_at when a poll last failed
  void OnPollAnswered(SteadyTime last_failure_at) {
    if (MayArrive() && last_sent_at_ > last_failure_at) {
      late_until_ = last_sent_at_ + kMaxDelay;
    }
  }

  /// @brief Whether a copy is on its way or lost. A run that is listed without an answer was
  /// started by one of its copies.
  [[nodiscard]] bool MayArrive() const {
    return unanswered_ > (is_listed_ && !is_answered_ ? 1U : 0U);
  }
  /// @brief Until when a late copy may arrive; nothing if no copy is late.
  [[nodiscard]] std::optional<SteadyTime> LateUntil() const {
    const bool is_late = MayArrive() && !is_refused_ && late_until_ != SteadyTime();
    return is_late ? std::optional(late_until_) : std::nullopt;
  }
  /// @brief Whether a copy is late and may arrive after a given time.
  [[nodiscard]] bool IsLate(SteadyTime at) const {
    // An empty optional compares less than any time.
    return LateUntil() > at;
  }
  /// @brief Whether all copies were sent before a given time.
  [[nodiscard]] bool WereSentBefore(SteadyTime at) const { return last_sent_at_ < at; }

 private:
  std::uint32_t unanswered_ = 0;
  bool is_answered_ = false;
  bool is_listed_ = false;
  bool is_refused_ = false;
  SteadyTime last_sent_at_;
  SteadyTime late_until_;
};

}  // namespace clementineloom::workload
