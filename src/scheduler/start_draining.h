#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief The process is about to end: no new work starts, work in progress is finished.
struct StartDraining {
  friend auto operator<=>(const StartDraining&, const StartDraining&) = default;
};

}  // namespace clementineloom::scheduler
