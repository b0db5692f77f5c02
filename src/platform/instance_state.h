#pragma once

#include <cstdint>

namespace clementineloom::platform {

/// @brief Whether an instance is in service or about to be removed.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

}  // namespace clementineloom::platform
