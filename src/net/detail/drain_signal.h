#pragma once

#include <chrono>
#include <condition_variable>
#include <mutex>

namespace clementineloom::net::detail {

/// @brief Tells a waiting thread that a server has closed its last connection.
/// Thread safety: every member function may be called from any thread.
class DrainSignal {
 public:
  /// @brief Ends all present and later waits.
  void Set() {
    {
      const std::scoped_lock lock(mutex_);
      is_set_ = true;
    }
    condition_.notify_all();
  }

  /// @brief Waits for Set. @return false on timeout.
  [[nodiscard]] bool WaitFor(std::chrono::milliseconds timeout) {
    std::unique_lock lock(mutex_);
    return condition_.wait_for(lock, timeout, [this] { return is_set_; });
  }

 private:
  std::mutex mutex_;
  std::condition_variable condition_;
  bool is_set_ = false;
};

}  // namespace clementineloom::net::detail
