#pragma once

#include <functional>
#include <map>
#include <string>

namespace clementineloom::workload {

/// @brief Speeds by the id of the worker, 1 for one like most others; workers whose speed is not
/// known to differ are left out.
using WorkerSpeeds = std::map<std::string, double, std::less<>>;

}  // namespace clementineloom::workload
