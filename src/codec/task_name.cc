#include "codec/task_name.h"

#include <array>
#include <charconv>
#include <cstddef>
#include <cstdint>

namespace clementineloom::codec {
namespace {

// Takes the number after the last dot off a name.
std::optional<std::uint32_t> TakeLastNumber(std::string_view& name) {
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
  const auto index = TakeLastNumber(name);
  const auto step = TakeLastNumber(name);
  const auto occurrence = TakeLastNumber(name);
  if (!index || !step || !occurrence || name.empty()) {
    return std::nullopt;
  }
  return workload::TaskId{{std::string(name), *occurrence, *step}, *index};
}

}  // namespace clementineloom::codec
