#pragma once

#include <cstdint>

namespace clementineloom::scheduler {

/// @brief What is known of the task at one worker of a gang.
///
/// kReleased: it holds no accelerators and never will under this token.
enum class SiteStep : std::uint8_t { kUnknown, kReserved, kRunning, kSucceeded, kReleased };

}  // namespace clementineloom::scheduler
