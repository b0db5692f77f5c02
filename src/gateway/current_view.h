#pragma once

#include <memory>

#include "clementineloom/routing/listed_workers.h"
#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/outstanding_requests.h"
#include "clementineloom/routing/routing_view.h"
#include "gateway/routing_options.h"
#include "gateway/view_confirmed.h"
#include "gateway/view_update.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief The routing view in use: the newest view of the control stream, limited to the workers
/// that the instance list names, and when it was last known to be the newest.
///
/// Thread safety: none; one thread owns the view.
class CurrentView {
 public:
  /// Precondition: the references outlive the view.
  /// @param outstanding is told which upstreams join and leave
  CurrentView(const RoutingOptions& options, OutstandingRequests& outstanding,
              metrics::MetricRegistry& metrics)
      : options_(options), outstanding_(outstanding), metrics_(metrics) {}

  /// @brief Uses a new view of the control stream.
  void Update(ViewUpdate update);

  /// @brief Notes that the last view is still the newest.
  void Confirm(const ViewConfirmed& confirmed);

  /// @brief Limits the view to listed workers, from now on.
  void LimitTo(std::shared_ptr<const ListedWorkers> listed);

  /// @brief The view. Valid until the next Update or LimitTo.
  [[nodiscard]] const RoutingView& routing() const { return routing_; }

  /// @brief Whether requests may be sent on the view.
  [[nodiscard]] bool IsFresh(MonotonicTime now) const {
    return now - fresh_at_ <= options_.max_view_age;
  }

 private:
  void Use();

  const RoutingOptions& options_;
  OutstandingRequests& outstanding_;
  metrics::MetricRegistry& metrics_;
  std::shared_ptr<const RoutingView> control_ = std::make_shared<const RoutingView>();
  std::shared_ptr<const ListedWorkers> listed_;
  RoutingView routing_;
  MonotonicTime fresh_at_;
};

}  // namespace clementineloom::gateway
