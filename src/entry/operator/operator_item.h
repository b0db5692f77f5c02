#pragma once

#include <variant>

#include "clementineloom/workload/workload_config.h"

namespace clementineloom::entry {

/// @brief An item that operators publish; the empty state stands for one of another kind.
using OperatorItem = std::variant<std::monostate, workload::WorkloadConfig>;

}  // namespace clementineloom::entry
