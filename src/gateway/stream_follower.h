#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <limits>
#include <optional>
#include <string>
#include <utility>

#include "gateway/stream_batch.h"
#include "platform/log_client.h"

namespace clementineloom::gateway {

/// @brief Reads a stream of the log in order; every record is returned once.
///
/// Thread safety: none; each duty has its own.
template <platform::LogClient Client>
class StreamFollower {
 public:
  /// Precondition: the client outlives the follower.
  StreamFollower(Client& log, std::string stream) : log_(log), stream_(std::move(stream)) {}

  /// @brief Waits for the next records; returns none after the wait time.
  /// Errors: kLogUnavailable, kRecordsExpired.
  [[nodiscard]] Result<StreamBatch> Next() {
    const MonotonicTime read_at = std::chrono::steady_clock::now();
    const LogOffset from(next_);
    BOOST_LEAF_AUTO(batch, log_.Read(stream_, from, kMaxRecords, wait_));
    StreamBatch followed{std::move(batch.records), false, read_at};
    if (!followed.records.empty()) {
      next_ = followed.records.back().offset.value() + 1;
    }
    followed.is_at_tail = next_ > batch.tail.value();
    if (followed.is_at_tail) {
      wait_ = kWait;
    }
    return followed;
  }

  /// @brief Continues at the oldest record that is still retained. Errors: kLogUnavailable.
  [[nodiscard]] Result<void> SkipToOldest() {
    // No stream reaches this offset, so the result has no records but names the oldest offset.
    const LogOffset past_the_end(std::numeric_limits<std::int64_t>::max());
    BOOST_LEAF_AUTO(batch, log_.Read(stream_, past_the_end, 1, std::chrono::milliseconds(0)));
    next_ = batch.oldest.value();
    return {};
  }

  [[nodiscard]] LogOffset next() const { return LogOffset{next_}; }

 private:
  static constexpr std::size_t kMaxRecords = 1000;
  // Also bounds the time until a stop signal is noticed.
  static constexpr std::chrono::milliseconds kWait{500};

  Client& log_;
  std::string stream_;
  std::uint64_t next_ = 1;
  // Stays 0 until the tail has been reached once, so that start-up does not wait between reads.
  std::chrono::milliseconds wait_{0};
};

}  // namespace clementineloom::gateway
