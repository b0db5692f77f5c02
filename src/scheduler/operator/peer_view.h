#pragma once

#include <compare>

namespace clementineloom::scheduler {

/// @brief Request for the freshness of this scheduler's view.
struct PeerView {
  friend auto operator<=>(const PeerView&, const PeerView&) = default;
};

}  // namespace clementineloom::scheduler
