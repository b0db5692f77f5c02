#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "gateway/follow_step.h"
#include "platform/log_client.h"

namespace clementineloom::gateway {

/// @brief Reads a stream of the log record by record, in order and without a repetition.
///
/// Thread safety: none; each duty has its own.
template <platform::LogClient Client>
class StreamFollower {
 public:
  /// Precondition: the client outlives the follower.
  StreamFollower(Client& log, std::string stream) : log_(log), stream_(std::move(stream)) {}

  /// @brief Waits for the next records; none after the wait time.
  /// Errors: kLogUnavailable, kRecordsExpired.
  [[nodiscard]] Result<FollowStep> Next() {
    const MonotonicTime read_at = std::chrono::steady_clock::now();
    const LogOffset from(next_);
    BOOST_LEAF_AUTO(batch, log_.Read(stream_, from, kMaxRecords, wait_));
    FollowStep step{std::move(batch.records), false, read_at};
    if (!step.records.empty()) {
      next_ = step.records.back().offset.value() + 1;
    }
    step.is_at_tail = next_ > batch.tail.value();
    if (step.is_at_tail) {
      wait_ = kWait;
    }
    return step;
  }

  /// @brief Goes on at the oldest record that is still kept. Errors: kLogUnavailable.
  [[nodiscard]] Result<void> SkipExpired() {
    // No stream reaches this offset, so that the answer has no records but names the oldest.
    const LogOffset beyond(std::numeric_limits<std::int64_t>::max());
    BOOST_LEAF_AUTO(batch, log_.Read(stream_, beyond, 1, std::chrono::milliseconds(0)));
    next_ = batch.oldest.value();
    return {};
  }

  [[nodiscard]] LogOffset next() const { return LogOffset{next_}; }

 private:
  static constexpr std::size_t kMaxRecords = 1000;
  // A quarter of the age that a view may reach, so that one lost read does not make it stale.
  static constexpr std::chrono::milliseconds kWait{500};

  Client& log_;
  std::string stream_;
  std::uint64_t next_ = 1;
  // Does not wait until the tail was reached once, so that a start takes no longer than reading.
  std::chrono::milliseconds wait_{0};
};

}  // namespace clementineloom::gateway
