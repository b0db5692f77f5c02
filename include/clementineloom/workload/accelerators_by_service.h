#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

namespace clementineloom::workload {

/// @brief Numbers of accelerators by the name of a service.
using AcceleratorsByService = std::map<std::string, std::int64_t, std::less<>>;

}  // namespace clementineloom::workload
