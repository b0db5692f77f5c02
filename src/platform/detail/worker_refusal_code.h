#pragma once

#include <string>

#include "clementineloom/errors/result_code.h"

namespace clementineloom::platform::detail {

/// @brief The code that a worker's refusal carries, if it tells the scheduler something of its own;
/// else kWorkerRefused.
/// @param body of the worker's answer
[[nodiscard]] ResultCode WorkerRefusalCode(const std::string& body);

}  // namespace clementineloom::platform::detail
