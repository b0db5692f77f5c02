#pragma once

#include "clementineloom/decision/cell_placer.h"
#include "clementineloom/decision/decision_engine.h"

namespace clementineloom {

/// @brief The engine that the scheduler runs.
using DefaultDecisionEngine = DecisionEngine<CellPlacer>;

}  // namespace clementineloom
