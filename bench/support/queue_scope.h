#pragma once

#include <cstdint>

namespace clementineloom::bench {

/// @brief Scope of head-of-line blocking: the jobs that wait behind the oldest job that does not
/// fit.
enum class QueueScope : std::uint8_t { kCluster, kTeam };

}  // namespace clementineloom::bench
