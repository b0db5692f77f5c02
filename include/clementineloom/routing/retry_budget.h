#pragma once

#include <algorithm>
#include <cstdint>

namespace clementineloom {

/// @brief Limits retries to a percentage of requests, so that a failing upstream does not multiply
/// the load of the others.
///
/// Thread safety: none, one thread owns it.
class RetryBudget {
 public:
  /// @param percent retries earned by 100 requests, 0 to 100
  explicit RetryBudget(std::uint32_t percent) : percent_(percent) {}

  /// @brief Adds the share of a retry that a new request earns.
  void AddRequest() { hundredths_ = std::min(hundredths_ + percent_, kMaxHundredths); }

  /// @return false if the budget is used up.
  [[nodiscard]] bool TryTake() {
    if (percent_ == 0 || hundredths_ < kOneRetry) {
      return false;
    }
    hundredths_ -= kOneRetry;
    return true;
  }

 private:
  static constexpr std::uint32_t kOneRetry = 100;
  // An idle gateway can retry 10 requests at once; a busy one accumulates at most 100 retries.
  static constexpr std::uint32_t kInitialHundredths = 10 * kOneRetry;
  static constexpr std::uint32_t kMaxHundredths = 100 * kOneRetry;

  std::uint32_t percent_;
  std::uint32_t hundredths_ = kInitialHundredths;
};

}  // namespace clementineloom
