#pragma once

#include <cstdint>

namespace clementineloom::scheduler {

/// @brief A command that a site is waiting for the answer of.
enum class SiteAction : std::uint8_t { kNone, kReserve, kStart, kRenew, kCheckpoint, kStop };

}  // namespace clementineloom::scheduler
