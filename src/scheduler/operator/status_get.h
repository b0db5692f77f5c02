#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Request for the state of this scheduler.
struct StatusGet {
  friend auto operator<=>(const StatusGet&, const StatusGet&) = default;
};

}  // namespace clementineloom::scheduler
