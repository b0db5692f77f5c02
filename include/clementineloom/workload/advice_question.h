#pragma once

#include <compare>
#include <string>
#include <vector>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/step_id.h"

namespace clementineloom::workload {

/// @brief Workers to ask the advice service about, for a step. An immutable value.
struct AdviceQuestion {
  StepId step;
  std::vector<std::string> workers;
  /// How long the service works on it, as the queue names it.
  Milliseconds answer_time{0};

  friend auto operator<=>(const AdviceQuestion&, const AdviceQuestion&) = default;
};

}  // namespace clementineloom::workload
