#pragma once

#include <concepts>
#include <string>

#include "clementineloom/workload/task_run.h"
#include "entry/owner/run_hold.h"

namespace clementineloom::entry {

/// @brief A function that tells why a run holds room on a worker. Precondition of its call: the run
/// does.
template <class F>
concept DescribesHold = requires(const F& describe, const std::string& worker,
                                 const workload::TaskRun& run) {
  { describe(worker, run) } -> std::same_as<RunHold>;
};

}  // namespace clementineloom::entry
