#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "clementineloom/workload/task_run.h"

namespace clementineloom::workload {

/// @brief A run that uses the processors that others leave idle. An immutable value.
struct FillRun {
  TaskRun run;
  std::string image;
  /// Share of its speed that the worker confirmed, if it is known.
  std::optional<std::uint32_t> pace_percent;

  friend auto operator<=>(const FillRun&, const FillRun&) = default;
};

}  // namespace clementineloom::workload
