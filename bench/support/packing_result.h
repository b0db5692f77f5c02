#pragma once

#include <cstdint>

namespace clementineloom::bench {

/// @brief Whether all demands fit together; kUndecided when the search reached its limit.
enum class PackingResult : std::uint8_t { kFits, kDoesNotFit, kUndecided };

}  // namespace clementineloom::bench
