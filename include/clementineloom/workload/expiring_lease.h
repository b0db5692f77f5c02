#pragma once

#include <compare>
#include <string>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief A worker's lease that no owner extends. An immutable value.
struct ExpiringLease {
  /// When all leases that were granted have expired.
  SteadyTime ended_at;
  /// Last known address of the worker, IP:PORT.
  std::string address;

  friend auto operator<=>(const ExpiringLease&, const ExpiringLease&) = default;
};

}  // namespace clementineloom::workload
