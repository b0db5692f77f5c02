#pragma once

#include <optional>
#include <string>
#include <string_view>

#include "clementineloom/workload/task_id.h"

namespace clementineloom::codec {

/// @brief "JOB.OCCURRENCE.STEP". Thread safety: a pure function.
[[nodiscard]] std::string StepName(const workload::StepId& step);

/// @brief "JOB.OCCURRENCE.STEP.INDEX". Thread safety: a pure function.
[[nodiscard]] std::string TaskName(const workload::TaskId& task);

/// @brief Reads what TaskName wrote, or nothing. Thread safety: a pure function.
[[nodiscard]] std::optional<workload::TaskId> ParseTaskName(std::string_view name);

}  // namespace clementineloom::codec
