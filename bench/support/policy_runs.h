#pragma once

#include <string>
#include <vector>

#include "support/run_figures.h"

namespace clementineloom::bench {

/// @brief A policy's runs over all seeds, in order of the seeds.
struct PolicyRuns {
  std::string policy;
  std::vector<RunFigures> runs;

  friend auto operator<=>(const PolicyRuns&, const PolicyRuns&) = default;
};

}  // namespace clementineloom::bench
