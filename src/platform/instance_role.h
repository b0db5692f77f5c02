#pragma once

#include <cstdint>

namespace clementineloom::platform {

/// @brief Workers run tasks and serve requests; entry instances run the daemons.
enum class InstanceRole : std::uint8_t { kWorker, kEntry };

}  // namespace clementineloom::platform
