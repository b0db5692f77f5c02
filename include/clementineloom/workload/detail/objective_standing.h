#pragma once

#include <cstdint>

namespace clementineloom::workload::detail {

/// @brief What a job can still reach if a waiting step starts now, the best first.
enum class ObjectiveStanding : std::uint8_t {
  /// It can end within its objective.
  kReachable,
  /// It ends late, but its result still has some value to the caller.
  kLate,
  /// It ends too late to be of use, and waits until there is room that no other work needs.
  kMissed,
};

}  // namespace clementineloom::workload::detail
