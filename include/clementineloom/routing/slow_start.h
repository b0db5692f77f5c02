#pragma once

#include <algorithm>
#include <cstdint>

#include "clementineloom/routing/monotonic_time.h"

namespace clementineloom {

/// @brief Limits the requests in progress at an upstream that joined or failed: the limit starts at
/// one and grows by one with each answer. After each consecutive failure the upstream gets no
/// requests for a time that doubles.
///
/// An immutable value.
class SlowStart {
 public:
  [[nodiscard]] std::uint32_t limit() const { return limit_; }

  /// @brief Whether a request may be sent at this time.
  [[nodiscard]] bool IsOpen(MonotonicTime now) const { return now >= closed_until_; }

  /// @brief The value after an answer.
  [[nodiscard]] SlowStart AfterAnswer() const {
    return SlowStart(std::min(limit_ + 1, kMaxLimit), 0, {});
  }

  /// @brief The value after a failure.
  [[nodiscard]] SlowStart AfterFailure(MonotonicTime now) const {
    const std::uint32_t doublings = std::min(failures_, kMaxDoublings);
    return SlowStart(1, failures_ + 1, now + kFirstPause * (1U << doublings));
  }

  friend auto operator<=>(const SlowStart&, const SlowStart&) = default;

  SlowStart() = default;

 private:
  SlowStart(std::uint32_t limit, std::uint32_t failures, MonotonicTime closed_until)
      : limit_(limit), failures_(failures), closed_until_(closed_until) {}

  // Above every number of slots, so that only the slots limit a healthy upstream.
  static constexpr std::uint32_t kMaxLimit = 65'535;
  // Pauses from 100 ms to 3.2 s: an instance that was replaced is tried again within seconds.
  static constexpr std::chrono::milliseconds kFirstPause{100};
  static constexpr std::uint32_t kMaxDoublings = 5;

  std::uint32_t limit_ = 1;
  std::uint32_t failures_ = 0;
  MonotonicTime closed_until_;
};

}  // namespace clementineloom
