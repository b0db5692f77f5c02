#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/resources.h"

namespace clementineloom::workload {

/// @brief A worker as it registered itself. An immutable value.
struct WorkerInfo {
  std::string id;
  std::string service;
  /// IP:PORT.
  std::string address;
  std::string data_centre;
  std::string rack;
  Resources capacity;
  /// All labels that steps may require, its rack among them.
  std::vector<std::string> labels;
  bool is_draining = false;
  /// Least time until a draining worker leaves; 0 if it is not draining.
  std::int64_t remaining_ms = 0;
  /// Unix time of its start, which identifies the incarnation of a worker that reuses its id.
  std::int64_t started_at_ms = 0;

  friend auto operator<=>(const WorkerInfo&, const WorkerInfo&) = default;

  [[nodiscard]] bool HasLabel(const std::string& label) const {
    return std::find(labels.begin(), labels.end(), label) != labels.end();
  }
};

}  // namespace clementineloom::workload
