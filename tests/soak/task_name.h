#pragma once

#include <cstddef>
#include <string>

namespace clementineloom::soak {

/// @brief The id of the job of a task named JOB.OCCURRENCE.STEP.INDEX.
[[nodiscard]] inline std::string JobOfTask(const std::string& task) {
  return task.substr(0, task.find('.'));
}

/// @brief The number of the step of such a task.
[[nodiscard]] inline std::size_t StepOfTask(const std::string& task) {
  const std::size_t end = task.rfind('.');
  return std::stoul(task.substr(task.rfind('.', end - 1) + 1));
}

}  // namespace clementineloom::soak
