#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief The lease of all runs of a worker, which ends on the worker's own clock.
/// Thread safety: none; use from one thread.
class WorkerLease {
 public:
  /// @brief The longest time for which a run may last without renewal.
  /// @param max_lease longest lease that the worker grants
  [[nodiscard]] static Milliseconds LongestDuration(Milliseconds max_lease);

  /// @brief Notes a reading of the worker's clock. @param received_at when the answer arrived
  void OnClock(std::int64_t clock_ms, SteadyTime received_at);

  /// @brief Whether a reading of the clock lies before what the last one leads to: the worker
  /// restarted, or answers arrived out of order.
  /// @param sent_at when the call was sent that the reading answers
  [[nodiscard]] bool IsBehind(std::int64_t clock_ms, SteadyTime sent_at) const;

  /// @brief Discards the clock reading when a new incarnation of the worker begins, that is, after
  /// a restart.
  ///
  /// The new incarnation may hold runs under a lease granted on the clock of the previous one; the
  /// worker shortens such a lease to the longest that it grants.
  /// @param max_lease longest lease that the worker grants
  void BeginIncarnation(Milliseconds max_lease, SteadyTime now);

  /// @brief Notes that a run has begun under a lease that was computed for the clock of an earlier
  /// incarnation. @param max_lease longest lease that the worker grants
  void NoteStartOfEarlierClock(Milliseconds max_lease, SteadyTime now);

  /// @brief Notes that a start had no answer: an incarnation that is not known yet may have
  /// accepted it, with the same bound on its lease as after BeginIncarnation.
  /// @param max_lease longest lease that the worker grants
  void NoteUnansweredStart(Milliseconds max_lease, SteadyTime now);

  /// @brief Notes that no other incarnation than the one to which leases were granted was there
  /// when a call was sent: that one answered, or nothing was there at all.
  /// @param sent_at when the call was sent
  void ConfirmIncarnation(SteadyTime sent_at);

  /// @brief The end of a lease of a length from now on, on the worker's clock; nothing while that
  /// clock is not known. The caller sends it, so that it counts as granted.
  [[nodiscard]] std::optional<std::int64_t> Grant(Milliseconds length, SteadyTime now);

  /// @brief The time at which every granted lease is certain to have expired; nullopt if none was
  /// granted.
  [[nodiscard]] std::optional<SteadyTime> LeasesExpiredAt() const;

 private:
  // Lowest rate of a worker's clock relative to this one.
  static constexpr double kMinClockRate = 0.98;
  // Allows for killing the runs after a lease has expired, and for rounding.
  static constexpr Milliseconds kKillMargin{250};

  // The longest time that may pass here during a span of the worker's clock.
  [[nodiscard]] static Milliseconds MaxElapsed(Milliseconds span);
  // The shortest time that passes on the worker's clock during a span here.
  [[nodiscard]] static Milliseconds MinElapsed(Milliseconds span);
  // Notes that a lease may last until ended_at.
  void Extend(SteadyTime ended_at);

  std::optional<std::int64_t> clock_ms_;
  SteadyTime read_at_;
  std::optional<SteadyTime> leases_expired_at_;
  // When a start without an answer was noted, and when a lease that another incarnation gave it
  // expires.
  SteadyTime unanswered_start_at_;
  std::optional<SteadyTime> unanswered_lease_end_;
};

}  // namespace clementineloom::workload
