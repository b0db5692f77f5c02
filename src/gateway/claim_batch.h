#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/routing/monotonic_time.h"
#include "gateway/claim_append.h"

namespace clementineloom::gateway {

/// @brief Bounded queue of records for the next append to the claims stream.
///
/// Thread safety: none.
class ClaimBatch {
 public:
  explicit ClaimBatch(std::size_t capacity) : capacity_(capacity) {}

  /// @return false if the queue is full.
  [[nodiscard]] bool Add(ClaimAppend append, MonotonicTime now) {
    if (queue_.size() >= capacity_) {
      return false;
    }
    if (queue_.empty()) {
      oldest_ = now;
    }
    queue_.push_back(std::move(append));
    return true;
  }

  /// @brief Removes the records of one append, oldest first.
  [[nodiscard]] std::vector<ClaimAppend> Take(MonotonicTime now) {
    std::vector<ClaimAppend> taken;
    while (!queue_.empty() && taken.size() < kMaxRecords) {
      taken.push_back(std::move(queue_.front()));
      queue_.pop_front();
    }
    oldest_ = now;
    return taken;
  }

  /// @brief When the oldest record was added, or when Take left it behind.
  /// Precondition: not empty.
  [[nodiscard]] MonotonicTime oldest() const { return oldest_; }
  [[nodiscard]] bool empty() const { return queue_.empty(); }

 private:
  static constexpr std::size_t kMaxRecords = 256;

  std::size_t capacity_;
  std::deque<ClaimAppend> queue_;
  MonotonicTime oldest_;
};

}  // namespace clementineloom::gateway
