#pragma once

#include <functional>
#include <string>
#include <vector>

#include "support/deployment.h"
#include "support/run_figures.h"
#include "support/workload.h"

namespace clementineloom::bench {

/// @brief A compared policy: its name, and a function that runs a new instance over a workload.
struct NamedPolicy {
  std::string name;
  std::function<RunFigures(const Deployment&, const Workload&)> run;
};

/// @brief The policies compared: first the baseline of the targets, second DefaultDecisionEngine
/// with its default options, then variants.
[[nodiscard]] std::vector<NamedPolicy> ComparedPolicies();

}  // namespace clementineloom::bench
