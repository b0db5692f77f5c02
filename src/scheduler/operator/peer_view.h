#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Request for how fresh this scheduler's view is.
struct PeerView {
  friend auto operator<=>(const PeerView&, const PeerView&) = default;
};

}  // namespace clementineloom::scheduler
