#pragma once

#include <memory>

#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/routing_view.h"

namespace clementineloom::gateway {

/// @brief A new view of the control stream. An immutable value.
struct ViewUpdate {
  std::shared_ptr<const RoutingView> view;
  /// A time at which the view was known to be the newest.
  MonotonicTime fresh_at;
};

}  // namespace clementineloom::gateway
