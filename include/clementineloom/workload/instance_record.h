#pragma once

#include <compare>
#include <string>

namespace clementineloom::workload {

/// @brief An entry instance and where it serves callers. An immutable value.
struct InstanceRecord {
  std::string instance;
  /// IP:PORT.
  std::string address;

  friend auto operator<=>(const InstanceRecord&, const InstanceRecord&) = default;
};

}  // namespace clementineloom::workload
