#pragma once

#include <set>
#include <string>
#include <string_view>

#include "soak/fault_kind.h"

namespace clementineloom::soak {

/// @brief The name of a kind of fault on the command line.
[[nodiscard]] std::string_view FaultKindName(FaultKind kind);

/// @brief The kinds that a name on the command line stands for: one kind, or those of a group
/// ("planned", "process", "power", "store", "link", "worker", "all"); empty for an unknown name.
[[nodiscard]] std::set<FaultKind> FaultKindsNamed(std::string_view name);

}  // namespace clementineloom::soak
