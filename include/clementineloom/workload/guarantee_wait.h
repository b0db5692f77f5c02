#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief An urgent step within its team's guarantee that found no room for some time, with the
/// accelerator counts that explain why. An immutable value.
struct GuaranteeWait {
  StepId step;
  std::string team;
  std::int64_t waited_ms = 0;
  /// What its team is guaranteed, and what it holds with this step and those before it.
  std::int64_t guaranteed = 0;
  std::int64_t held = 0;
  /// What its tasks that wait need.
  std::int64_t needed = 0;
  /// Free on workers that take runs, claimed or not.
  std::int64_t free = 0;
  /// Held by runs that may still be stopped for it.
  std::int64_t stoppable = 0;
  /// Held by urgent runs of teams beyond their guarantees.
  std::int64_t borrowed = 0;
  /// Its tasks for which room is being made.
  std::int64_t claims = 0;
  /// Whether it waits for one rack to have room for all its tasks.
  bool prefers_one_rack = false;

  friend auto operator<=>(const GuaranteeWait&, const GuaranteeWait&) = default;
};

}  // namespace clementineloom::workload
