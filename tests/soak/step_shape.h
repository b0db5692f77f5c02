#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

#include "clementineloom/workload/resources.h"

namespace clementineloom::soak {

/// @brief What a step of a submitted job asks for. An immutable value.
struct StepShape {
  std::size_t count = 0;
  /// Resources of one task.
  workload::Resources task{};
  bool is_gang = false;
  /// Label that a worker must have; empty for none.
  std::string required_label{};
  /// Steps that must be done before.
  std::vector<std::size_t> depends_on{};

  friend auto operator<=>(const StepShape&, const StepShape&) = default;
};

}  // namespace clementineloom::soak
