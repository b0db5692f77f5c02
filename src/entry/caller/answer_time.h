#pragma once

#include <algorithm>
#include <cstdint>

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Time for which a request may be processed before it is answered.
/// @param timeout_ms time for which its caller waits
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr workload::Milliseconds AnswerTime(std::int64_t timeout_ms) {
  // Time reserved for the answer to reach the caller before the caller's timeout.
  constexpr workload::Milliseconds kAnswerMargin{150};
  return std::max(workload::Milliseconds(timeout_ms) - kAnswerMargin, workload::Milliseconds(0));
}

}  // namespace clementineloom::entry
