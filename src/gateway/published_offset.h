#pragma once

#include <atomic>
#include <cstdint>

#include "clementineloom/model/log_offset.h"

namespace clementineloom::gateway {

/// @brief Offset up to which the control follower has published the view. SchedulerViewDuty
/// compares it with the tail that the scheduler knows. Thread safety: any thread.
class PublishedOffset {
 public:
  void Set(LogOffset offset) { offset_ = offset.value(); }
  [[nodiscard]] LogOffset Get() const { return LogOffset(offset_); }

 private:
  std::atomic<std::uint64_t> offset_{0};
};

}  // namespace clementineloom::gateway
