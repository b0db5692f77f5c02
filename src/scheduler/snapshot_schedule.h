#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>

#include "clementineloom/model/log_offset.h"

namespace clementineloom::scheduler {

/// @brief Says when the next snapshot of the control stream is due.
///
/// Ranks wait for different numbers of records, so that usually one scheduler writes it. A snapshot
/// that was begun and not seen whole is begun again a tenth of the interval later.
/// Thread safety: none.
class SnapshotSchedule {
 public:
  /// @param interval records between two snapshots; 0 turns them off
  explicit SnapshotSchedule(std::uint64_t interval) : interval_(interval) {}

  /// @brief A whole snapshot was read, or the state was restored from one.
  void NoteWhole(LogOffset covers) { latest_ = std::max(latest_, covers); }

  [[nodiscard]] bool IsDue(LogOffset read_to, std::size_t rank) const {
    const std::uint64_t step = interval_ / 10 + 1;
    const std::uint64_t due = latest_.value() + interval_ + rank * step;
    return interval_ > 0 && read_to.value() >= due && read_to.value() >= begun_.value() + step;
  }

  void NoteBegun(LogOffset read_to) { begun_ = read_to; }

 private:
  const std::uint64_t interval_;
  LogOffset latest_;
  LogOffset begun_;
};

}  // namespace clementineloom::scheduler
