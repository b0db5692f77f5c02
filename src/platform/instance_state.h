#pragma once

#include <cstdint>

namespace clementineloom::platform {

/// @brief Whether an instance will be taken away soon.
enum class InstanceState : std::uint8_t { kLive, kLeaving };

}  // namespace clementineloom::platform
