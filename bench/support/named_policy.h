#pragma once

#include <functional>
#include <string>
#include <vector>

#include "support/deployment.h"
#include "support/run_figures.h"
#include "support/workload.h"

namespace clementineloom::bench {

/// @brief A policy of the comparison: its name, and how to run a fresh one over a workload.
struct NamedPolicy {
  std::string name;
  std::function<RunFigures(const Deployment&, const Workload&)> run;
};

/// @brief The policies compared. The first is the baseline of the targets, the second the
/// project's own; the others are variants.
[[nodiscard]] std::vector<NamedPolicy> ComparedPolicies();

}  // namespace clementineloom::bench
