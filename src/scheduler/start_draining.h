#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief The process is to end: nothing new begins, what was begun is finished.
struct StartDraining {
  friend auto operator<=>(const StartDraining&, const StartDraining&) = default;
};

}  // namespace clementineloom::scheduler
