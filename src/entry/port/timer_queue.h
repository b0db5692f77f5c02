#pragma once

#include <functional>
#include <map>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Functions scheduled to run at times of the steady clock.
/// Thread safety: none; use from one thread.
class TimerQueue {
 public:
  /// @brief Adds a function; functions of the same time run in the order in which they were added.
  void Add(workload::SteadyTime at, std::function<void()> action) {
    timers_.emplace(at, std::move(action));
  }

  /// @brief Runs all functions that are due; they may add others.
  void RunDue(workload::SteadyTime now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const std::function<void()> action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
  }

  /// @brief Time of the next function; empty if there is none.
  [[nodiscard]] std::optional<workload::SteadyTime> Next() const {
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
  }

 private:
  std::multimap<workload::SteadyTime, std::function<void()>> timers_;
};

}  // namespace clementineloom::entry
