#pragma once

#include <cstddef>
#include <deque>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/routing/monotonic_time.h"
#include "gateway/claim_append.h"

namespace clementineloom::gateway {

/// @brief Records that wait for the next append to the claims stream. Thread safety: none.
class ClaimBatch {
 public:
  explicit ClaimBatch(std::size_t capacity) : capacity_(capacity) {}

  /// @return false if there is no room.
  [[nodiscard]] bool Add(ClaimAppend append, MonotonicTime now) {
    if (waiting_.size() >= capacity_) {
      return false;
    }
    if (waiting_.empty()) {
      oldest_ = now;
    }
    waiting_.push_back(std::move(append));
    return true;
  }

  /// @brief Takes the records of one append, oldest first.
  [[nodiscard]] std::vector<ClaimAppend> Take(MonotonicTime now) {
    std::vector<ClaimAppend> taken;
    while (!waiting_.empty() && taken.size() < kMaxRecords) {
      taken.push_back(std::move(waiting_.front()));
      waiting_.pop_front();
    }
    oldest_ = now;
    return taken;
  }

  /// @brief When the oldest record was added. Precondition: not empty.
  [[nodiscard]] MonotonicTime oldest() const { return oldest_; }
  [[nodiscard]] bool empty() const { return waiting_.empty(); }

 private:
  static constexpr std::size_t kMaxRecords = 256;

  std::size_t capacity_;
  std::deque<ClaimAppend> waiting_;
  MonotonicTime oldest_;
};

}  // namespace clementineloom::gateway
