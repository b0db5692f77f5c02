#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief How a job ended; kNone while it has not.
enum class JobOutcome : std::uint8_t { kNone, kSucceeded, kFailed, kCancelled, kRefused };

}  // namespace clementineloom
