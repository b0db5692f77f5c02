#pragma once

#include <compare>
#include <string>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief When the leases of a worker end that no owner extends. An immutable value.
struct LeaseEnd {
  /// All leases that were granted expire within this time after the record was written.
  Milliseconds remaining{0};
  /// Last known address, IP:PORT: another worker that answers there shows that this one is gone.
  std::string address;

  friend auto operator<=>(const LeaseEnd&, const LeaseEnd&) = default;
};

}  // namespace clementineloom::workload
