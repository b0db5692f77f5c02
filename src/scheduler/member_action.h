#pragma once

#include <cstdint>

namespace clementineloom::scheduler {

/// @brief A kind of command to a gang member; kNone if there is none.
enum class MemberAction : std::uint8_t { kNone, kReserve, kStart, kRenew, kCheckpoint, kStop };

}  // namespace clementineloom::scheduler
