#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief What a caller knows of a request.
enum class RequestOutcome : std::uint8_t { kUnknown, kAccepted, kDidNotRun };

}  // namespace clementineloom::entry
