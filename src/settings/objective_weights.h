#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::settings {

/// @brief Weights of the placement objective, in percent; they add up to 100. An immutable value.
struct ObjectiveWeights {
  std::uint32_t completion_time_percent = 50;
  std::uint32_t fragmentation_percent = 25;
  std::uint32_t work_during_change_percent = 25;

  friend auto operator<=>(const ObjectiveWeights&, const ObjectiveWeights&) = default;
};

}  // namespace clementineloom::settings
