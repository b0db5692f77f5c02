#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace clementineloom {

/// @brief Tells a polling duty to stop and wakes it if it is waiting.
///
/// Thread safety: every member may be called from any thread.
class StopSignal {
 public:
  void Stop() {
    {
      const std::scoped_lock lock(mutex_);
      stopped_ = true;
    }
    changed_.notify_all();
  }

  [[nodiscard]] bool stopped() const {
    const std::scoped_lock lock(mutex_);
    return stopped_;
  }

  /// @brief Waits until the timeout passes or Stop is called. @return whether Stop was called.
  bool WaitFor(std::chrono::milliseconds pause) {
    std::unique_lock lock(mutex_);
    return changed_.wait_for(lock, pause, [this] { return stopped_; });
  }

 private:
  mutable std::mutex mutex_;
  std::condition_variable changed_;
  bool stopped_ = false;
};

}  // namespace clementineloom
