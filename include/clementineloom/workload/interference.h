#pragma once

#include <map>

#include "clementineloom/workload/kind_pair.h"

namespace clementineloom::workload {

/// @brief The pairs of kinds of which one is known to slow the other, with the part of its speed
/// that is left beside it, above 0 and below 1.
using Interference = std::map<KindPair, double>;

}  // namespace clementineloom::workload
