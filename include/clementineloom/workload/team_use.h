#pragma once

#include <compare>
#include <cstddef>
#include <string>

#include "clementineloom/workload/resources.h"

namespace clementineloom::workload {

/// @brief The limits of a team, what its runs hold, and its open jobs without a run. An immutable
/// value.
struct TeamUse {
  std::string name;
  double weight = 0;
  Resources quota;
  Resources held;
  std::size_t waiting_jobs = 0;

  friend auto operator<=>(const TeamUse&, const TeamUse&) = default;
};

}  // namespace clementineloom::workload
