#pragma once

#include <chrono>
#include <cstdint>

namespace clementineloom::logging {

/// @brief Limits the log lines of one event to a number per second and counts those left out.
/// Thread safety: none; use from one thread.
class EventBudget {
 public:
  using Time = std::chrono::steady_clock::time_point;

  explicit EventBudget(std::uint32_t lines_per_second) : lines_per_second_(lines_per_second) {}

  /// @brief Whether the next line may be written.
  [[nodiscard]] bool Allow(Time now) {
    if (now - window_start_ >= std::chrono::seconds(1)) {
      window_start_ = now;
      lines_ = 0;
    }
    if (lines_ >= lines_per_second_) {
      ++left_out_;
      return false;
    }
    ++lines_;
    return true;
  }

  /// @brief Lines that were left out since the last call.
  [[nodiscard]] std::uint64_t TakeLeftOut() {
    const std::uint64_t count = left_out_;
    left_out_ = 0;
    return count;
  }

 private:
  const std::uint32_t lines_per_second_;
  Time window_start_;
  std::uint32_t lines_ = 0;
  std::uint64_t left_out_ = 0;
};

}  // namespace clementineloom::logging
