#pragma once

#include <vector>

#include "recovery/named_trouble.h"
#include "recovery/recovery_figures.h"

namespace clementineloom::bench {

/// @brief A trouble and its runs, in order of the seeds.
struct TroubleRuns {
  NamedTrouble trouble;
  std::vector<RecoveryFigures> runs;
};

}  // namespace clementineloom::bench
