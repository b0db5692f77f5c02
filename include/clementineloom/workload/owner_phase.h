#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief What an owner's record says. The numbers are stored and are never reused.
enum class OwnerPhase : std::uint8_t {
  /// Owns from this record on, or still does.
  kActive = 0,
  /// Gives ownership up; another instance may take it at once.
  kResigned = 1,
};

}  // namespace clementineloom::workload
