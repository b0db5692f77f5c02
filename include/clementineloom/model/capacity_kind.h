#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Whether a running job uses its team's guarantee or borrows idle capacity.
enum class CapacityKind : std::uint8_t { kGuaranteed, kBorrowed };

}  // namespace clementineloom
