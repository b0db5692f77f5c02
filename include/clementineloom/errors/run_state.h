#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief What is known about a request that was refused.
///
/// kDidNotRun is used only where it is certain: no byte of the request can have been sent to an
/// upstream, or the upstream itself refused the request.
enum class RunState : std::uint8_t { kDidNotRun, kMayHaveRun, kRan };

}  // namespace clementineloom
