#pragma once

#include <compare>
#include <string>
#include <vector>

#include "soak/step_shape.h"

namespace clementineloom::soak {

/// @brief The steps of a submitted job. An immutable value.
struct JobShape {
  std::vector<StepShape> steps;

  /// @brief Reads the body of a submission. Precondition: a caller of the soak has drawn it.
  [[nodiscard]] static JobShape Parse(const std::string& body);

  friend auto operator<=>(const JobShape&, const JobShape&) = default;
};

}  // namespace clementineloom::soak
