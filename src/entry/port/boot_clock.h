#pragma once

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief A steady clock that also counts the time for which the machine is suspended.
/// Thread safety: any thread.
struct BootClock {
  [[nodiscard]] static workload::SteadyTime Now();
};

}  // namespace clementineloom::entry
