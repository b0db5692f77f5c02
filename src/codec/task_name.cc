#include "codec/task_name.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace clementineloom::codec {
namespace {

// Removes the last dot and the number after it from a name and returns the number.
std::optional<std::uint32_t> RemoveLastNumber(std::string_view& name) {
  const std::size_t dot = name.rfind('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const std::string_view digits = name.substr(dot + 1);
  std::uint32_t number = 0;
  const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  if (ec != std::errc() || end != digits.data() + digits.size()) {
    return std::nullopt;
  }
  name = name.substr(0, dot);
  return number;
}

}  // namespace

std::string StepName(const workload::StepId& step) {
  return step.job + "." + std::to_string(step.occurrence) + "." + std::to_string(step.step);
}

std::string TaskName(const workload::TaskId& task) {
  return StepName(task.step) + "." + std::to_string(task.index);
}

std::optional<workload::TaskId> ParseTaskName(std::string_view name) {
  const auto index = RemoveLastNumber(name);
  const auto step = RemoveLastNumber(name);
  const auto occurrence = RemoveLastNumber(name);
  if (!index || !step || !occurrence || name.empty()) {
    return std::nullopt;
  }
  return workload::TaskId{{std::string(name), *occurrence, *step}, *index};
}

}  // namespace clementineloom::codec
