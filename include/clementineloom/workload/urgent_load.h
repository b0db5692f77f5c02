#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace clementineloom::workload {

/// @brief The urgent work of a service at the time of a plan. An immutable value.
struct UrgentLoad {
  /// Accelerators that urgent work holds, or waits for and can still use in time.
  std::int64_t accelerators = 0;
  /// Unix time from which the newest waiting step may start; 0 if none waits.
  std::int64_t newest_due_at_ms = 0;

  friend auto operator<=>(const UrgentLoad&, const UrgentLoad&) = default;
};

/// @brief Urgent loads by the name of the service.
using UrgentLoads = std::map<std::string, UrgentLoad, std::less<>>;

}  // namespace clementineloom::workload
