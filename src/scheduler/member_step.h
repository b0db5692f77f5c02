#pragma once

#include <cstdint>

namespace clementineloom::scheduler {

/// @brief The known state of the task on one worker of a gang.
///
/// kReleased: it holds no accelerators and never will again under this token.
enum class MemberStep : std::uint8_t { kUnknown, kReserved, kRunning, kSucceeded, kReleased };

}  // namespace clementineloom::scheduler
