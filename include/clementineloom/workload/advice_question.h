#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief Workers to ask the advice service about, for a step. An immutable value.
struct AdviceQuestion {
  StepId step;
  std::vector<std::string> workers;

  friend auto operator<=>(const AdviceQuestion&, const AdviceQuestion&) = default;
};

}  // namespace clementineloom::workload
