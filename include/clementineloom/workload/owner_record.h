#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/owner_phase.h"

namespace clementineloom::workload {

/// @brief Names the instance that owns the workers from this record on. An immutable value.
struct OwnerRecord {
  /// Fencing token of the ownership; each ownership has a higher one.
  std::uint64_t epoch = 0;
  std::string instance;
  OwnerPhase phase = OwnerPhase::kActive;

  friend auto operator<=>(const OwnerRecord&, const OwnerRecord&) = default;
};

}  // namespace clementineloom::workload
