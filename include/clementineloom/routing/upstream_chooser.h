#pragma once

#include <concepts>
#include <optional>
#include <span>

#include "clementineloom/model/worker_id.h"
#include "clementineloom/routing/outstanding_requests.h"
#include "clementineloom/routing/routing_view.h"

namespace clementineloom {

/// @brief Chooses the upstream of a request, or none when all are at their limit.
///
/// The excluded workers already failed the request.
template <class T>
concept UpstreamChooser = requires(T chooser, const RoutingView& view,
                                   const OutstandingRequests& outstanding,
                                   std::span<const WorkerId> excluded) {
  { chooser.Choose(view, outstanding, excluded) } -> std::same_as<const Upstream*>;
};

}  // namespace clementineloom
