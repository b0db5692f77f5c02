#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

namespace clementineloom::workload {

/// @brief A token bucket over times in Unix milliseconds. It is full at first. Thread safety: none.
class TokenBucket {
 public:
  /// Precondition: the rate is above 0, and the capacity at least 1.
  TokenBucket(double tokens_per_second, double capacity)
      : tokens_per_second_(tokens_per_second), capacity_(capacity), tokens_(capacity) {}

  /// @brief Takes a token at a time if there is a whole one. Times before an earlier one count as
  /// that one. @return whether it was taken
  bool Take(std::int64_t at_ms) {
    Refill(at_ms);
    if (tokens_ < 1) {
      return false;
    }
    tokens_ -= 1;
    return true;
  }

  friend auto operator<=>(const TokenBucket&, const TokenBucket&) = default;

 private:
  void Refill(std::int64_t at_ms) {
    constexpr double kMsPerSecond = 1'000;
    if (is_used_ && at_ms > refilled_at_ms_) {
      const auto elapsed_ms = static_cast<double>(at_ms - refilled_at_ms_);
      tokens_ = std::min(capacity_, tokens_ + elapsed_ms * tokens_per_second_ / kMsPerSecond);
    }
    refilled_at_ms_ = is_used_ ? std::max(refilled_at_ms_, at_ms) : at_ms;
    is_used_ = true;
  }

  double tokens_per_second_;
  double capacity_;
  double tokens_;
  std::int64_t refilled_at_ms_ = 0;
  bool is_used_ = false;
};

}  // namespace clementineloom::workload
