#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::workload {

/// @brief An entry instance and where it serves callers. An immutable value.
struct InstanceRecord {
  std::string instance;
  /// IP:PORT.
  std::string address;
  /// Thousandths of a core that it may use; 0 where that is not known.
  std::int64_t cpu_millicores = 0;

  friend auto operator<=>(const InstanceRecord&, const InstanceRecord&) = default;
};

}  // namespace clementineloom::workload
