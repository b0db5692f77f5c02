#pragma once

#include <cstddef>
#include <vector>

#include "recovery/named_trouble.h"

namespace clementineloom::bench {

/// @brief Instances of the cluster that the troubles befall.
inline constexpr std::size_t kRecoveryInstances = 6;
/// @brief Workers of that cluster.
inline constexpr std::size_t kRecoveryWorkers = 24;

/// @brief All kinds of trouble, in the order of the report.
[[nodiscard]] std::vector<NamedTrouble> AllTroubles();

}  // namespace clementineloom::bench
