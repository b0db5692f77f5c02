#pragma once

#include <cstdint>

namespace clementineloom::scheduler {

/// @brief A command to a site, or the one whose answer is awaited.
enum class SiteAction : std::uint8_t { kNone, kReserve, kStart, kRenew, kCheckpoint, kStop };

}  // namespace clementineloom::scheduler
