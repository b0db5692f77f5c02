#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "clementineloom/model/log_offset.h"

namespace clementineloom::scheduler {

/// @brief Determines when the next snapshot of the control stream is due.
///
/// Each rank waits for a different number of records, so that usually one scheduler writes it. If a
/// snapshot was started but not read back completely, another is started a tenth of the interval
/// later.
/// Thread safety: none.
class SnapshotSchedule {
 public:
  /// @param interval records between two snapshots; 0 turns them off
  explicit SnapshotSchedule(std::uint64_t interval) : interval_(interval) {}

  /// @brief A complete snapshot was read, or the state was restored from one.
  void OnComplete(LogOffset covers) { latest_ = std::max(latest_, covers); }

  [[nodiscard]] bool IsDue(LogOffset read_to, std::size_t rank) const {
    const std::uint64_t step = interval_ / 10 + 1;
    const std::uint64_t due = latest_.value() + interval_ + rank * step;
    return interval_ > 0 && read_to.value() >= due &&
           read_to.value() >= started_at_offset_.value() + step;
  }

  void OnStarted(LogOffset read_to) { started_at_offset_ = read_to; }

 private:
  const std::uint64_t interval_;
  LogOffset latest_;
  LogOffset started_at_offset_;
};

}  // namespace clementineloom::scheduler
