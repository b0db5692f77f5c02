#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "platform/task_report.h"

namespace clementineloom::platform {

/// @brief A worker's report of itself and of its tasks, ended ones included. An immutable value.
struct WorkerReport {
  std::string worker;
  std::uint16_t accelerators = 0;
  std::vector<TaskReport> tasks;

  friend auto operator<=>(const WorkerReport&, const WorkerReport&) = default;
};

}  // namespace clementineloom::platform
