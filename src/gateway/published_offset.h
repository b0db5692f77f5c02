#pragma once

#include <atomic>
#include <cstdint>

#include "clementineloom/model/log_offset.h"

namespace clementineloom::gateway {

/// @brief How far the control follower has published, for the duty that asks the scheduler how new
/// that is. Thread safety: any thread.
class PublishedOffset {
 public:
  void Set(LogOffset offset) { offset_ = offset.value(); }
  [[nodiscard]] LogOffset Get() const { return LogOffset(offset_); }

 private:
  std::atomic<std::uint64_t> offset_{0};
};

}  // namespace clementineloom::gateway
