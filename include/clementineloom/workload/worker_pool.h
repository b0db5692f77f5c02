#pragma once

#include <map>
#include <string>

#include "clementineloom/workload/pool_worker.h"

namespace clementineloom::workload {

/// @brief The workers that an owner places runs on, by id.
using WorkerPool = std::map<std::string, PoolWorker, std::less<>>;

}  // namespace clementineloom::workload
