#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Whether a worker may get new work: only kLive may.
///
/// kQuarantined: the tasks started on it fail. kLeaving: announced as leaving. kLost: removed
/// from the instance list, so that nothing runs there any more.
enum class WorkerCondition : std::uint8_t { kLive, kQuarantined, kLeaving, kLost };

}  // namespace clementineloom
