#pragma once

#include <compare>
#include <string>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Approval of a step on a worker. An immutable value.
struct Advice {
  std::string worker;
  /// Sent to the worker with each start of the step.
  std::string ticket;
  SteadyTime valid_until;

  friend auto operator<=>(const Advice&, const Advice&) = default;
};

}  // namespace clementineloom::workload
