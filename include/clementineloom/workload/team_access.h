#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/resources.h"

namespace clementineloom::workload {

/// @brief A team's keys, the accelerators that it is guaranteed, and its limits. An immutable
/// value.
struct TeamAccess {
  std::string name;
  std::vector<std::string> keys;
  std::int64_t guaranteed_accelerators = 0;
  /// Its share of a full fleet in relation to other teams, and the jobs that it may submit each
  /// second before they rank behind those of others; 0 for neither.
  double weight = 0;
  /// Most that its runs may hold at the same time on all workers; 0 of a resource for no limit.
  Resources quota = {};

  friend auto operator<=>(const TeamAccess&, const TeamAccess&) = default;
};

}  // namespace clementineloom::workload
