#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::workload {

/// @brief One step of one occurrence of a job. An immutable value.
struct StepId {
  std::string job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend auto operator<=>(const StepId&, const StepId&) = default;
};

}  // namespace clementineloom::workload
