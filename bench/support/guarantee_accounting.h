#pragma once

#include <cstdint>

namespace clementineloom::bench {

/// @brief Which work of a policy is not borrowed, and so may not be stopped for a guarantee.
///
/// kCells: placements of kind kGuaranteed. kCountedQuota: the earliest placed jobs that fit within
/// the accelerators guaranteed to their team.
enum class GuaranteeAccounting : std::uint8_t { kCells, kCountedQuota };

}  // namespace clementineloom::bench
