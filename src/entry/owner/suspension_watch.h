#pragma once

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Notices that the process was suspended, and for how long nothing may be ordered from
/// decisions that were made before.
///
/// A successor may have taken over meanwhile and called the workers, but one that has restarted
/// since does not know of it. Thread safety: none; use from one thread.
class SuspensionWatch {
 public:
  /// @param now when the process began to run
  explicit SuspensionWatch(workload::SteadyTime now) : ticked_at_(now), resumed_at_(now) {}

  /// @brief Notes that the process runs. To be called at intervals well below kMaxPause.
  void OnTick(workload::SteadyTime now) {
    if (now - ticked_at_ > kMaxPause) {
      resumed_at_ = now;
    }
    ticked_at_ = now;
  }

  /// @brief Whether ownership has been confirmed since the process was last suspended.
  /// @param confirmed_at latest time at which the ownership is known to have been held
  [[nodiscard]] bool IsConfirmedSince(workload::SteadyTime confirmed_at,
                                      workload::SteadyTime now) const {
    return now - ticked_at_ <= kMaxPause && confirmed_at >= resumed_at_;
  }

 private:
  // Shorter than the time after which a silent owner is replaced.
  static constexpr workload::Milliseconds kMaxPause{1'000};

  workload::SteadyTime ticked_at_;
  workload::SteadyTime resumed_at_;
};

}  // namespace clementineloom::entry
