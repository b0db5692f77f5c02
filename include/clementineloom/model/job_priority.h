#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Order of a team's own jobs; urgent jobs have to start within 1.5 s of their submission.
enum class JobPriority : std::uint8_t { kLow, kNormal, kUrgent };

}  // namespace clementineloom
