#pragma once

#include <functional>
#include <map>
#include <optional>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Functions to be run at moments of the steady clock.
/// Thread safety: none; use from one thread.
class TimerQueue {
 public:
  /// @brief Adds a function; those of one moment run in the order in which they were added.
  void Add(workload::SteadyTime at, std::function<void()> action) {
    timers_.emplace(at, std::move(action));
  }

  /// @brief Runs what is due; functions may add others.
  void RunDue(workload::SteadyTime now) {
    while (!timers_.empty() && timers_.begin()->first <= now) {
      const std::function<void()> action = std::move(timers_.begin()->second);
      timers_.erase(timers_.begin());
      action();
    }
  }

  /// @brief The moment of the next function, or nothing.
  [[nodiscard]] std::optional<workload::SteadyTime> Next() const {
    return timers_.empty() ? std::nullopt : std::optional(timers_.begin()->first);
  }

 private:
  std::multimap<workload::SteadyTime, std::function<void()>> timers_;
};

}  // namespace clementineloom::entry
