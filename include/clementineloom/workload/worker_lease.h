#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief The lease of all runs of a worker, which ends on the worker's own clock.
/// Thread safety: none; use from one thread.
class WorkerLease {
 public:
  /// @brief Notes a reading of the worker's clock. @param received_at when the answer arrived
  void OnClock(std::int64_t clock_ms, SteadyTime received_at);

  /// @brief Whether a reading of the clock lies before the last one: another life of the worker
  /// began, or answers overtook each other.
  [[nodiscard]] bool IsBehind(std::int64_t clock_ms) const;

  /// @brief Forgets the clock, when another life of the worker begins.
  ///
  /// That life may hold runs under a lease that was given on the former life's clock, which it
  /// shortens to the longest one.
  /// @param longest lease that the worker grants
  void BeginLife(Milliseconds longest, SteadyTime now);

  /// @brief Notes that a start had no answer: a life that nobody has heard of may have taken it, as
  /// at BeginLife.
  /// @param longest lease that the worker grants
  void Doubt(Milliseconds longest, SteadyTime now);

  /// @brief Notes that the life in which leases were granted has answered a call.
  /// @param sent_at when the call was sent
  void ConfirmLife(SteadyTime sent_at);

  /// @brief The end of a lease of a length from now on, on the worker's clock; nothing while that
  /// clock is not known. The caller sends it, so that it counts as granted.
  [[nodiscard]] std::optional<std::int64_t> Grant(Milliseconds length, SteadyTime now);

  /// @brief The moment at which every granted lease has ended for certain; nothing if none was
  /// granted.
  [[nodiscard]] std::optional<SteadyTime> SurelyEndedAt() const;

 private:
  // A worker's clock may be this much slow.
  static constexpr double kSlowestClock = 0.98;
  // For the kill after the end, and rounding.
  static constexpr Milliseconds kKillTime{250};

  // The longest time that a span of the worker's clock may take.
  [[nodiscard]] static Milliseconds Slowest(Milliseconds span);
  // Notes that a lease may last until a moment.
  void Extend(SteadyTime ended_at);

  std::optional<std::int64_t> clock_ms_;
  SteadyTime read_at_;
  std::optional<SteadyTime> surely_ended_at_;
  // When a start in doubt was noted, and the end of a lease that another life gave it.
  SteadyTime doubted_at_;
  std::optional<SteadyTime> doubtful_end_;
};

}  // namespace clementineloom::workload
