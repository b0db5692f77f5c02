#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::workload {

/// @brief Workers by the first condition that keeps a step from them. An immutable value.
struct WorkerCounts {
  std::uint32_t without_label = 0;
  /// Not in the directory, or draining.
  std::uint32_t leaving = 0;
  /// Not heard from under the present ownership, or since a restart.
  std::uint32_t unattached = 0;
  /// Given no new runs for a while, after a failure or without an answer.
  std::uint32_t backing_off = 0;
  std::uint32_t evacuated = 0;
  /// Without room for one more task, or with as many tasks of the step as it may run.
  std::uint32_t full = 0;
  /// Not approved by the advice service.
  std::uint32_t unapproved = 0;
  /// Kept for urgent work that is about to arrive.
  std::uint32_t reserved = 0;
  /// Nothing but claims or the wait for a rack keeps the step from them.
  std::uint32_t usable = 0;

  friend auto operator<=>(const WorkerCounts&, const WorkerCounts&) = default;
};

}  // namespace clementineloom::workload
