#pragma once

#include <string>

#include "clementineloom/errors/result_code.h"

namespace clementineloom::platform::detail {

/// @brief The code of a worker's refusal if the scheduler handles it separately; otherwise
/// kWorkerRefused.
/// @param body of the worker's answer
[[nodiscard]] ResultCode WorkerRefusalCode(const std::string& body);

}  // namespace clementineloom::platform::detail
