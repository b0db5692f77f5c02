#pragma once

#include <memory>
#include <variant>

#include "clementineloom/membership/membership_view.h"
#include "scheduler/view_freshness.h"

namespace clementineloom::scheduler {

/// @brief What the peer duty reacts to.
using PeerEvent = std::variant<ViewFreshness, std::shared_ptr<const MembershipView>>;

}  // namespace clementineloom::scheduler
