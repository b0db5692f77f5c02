#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/errors/result.h"
#include "clementineloom/routing/routing_view.h"
#include "gateway/claims_event.h"
#include "gateway/gateway_options.h"
#include "gateway/responder.h"
#include "gateway/routing_event.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief The request path of loom-gateway: caller I/O, routing and upstream I/O, joined by rings.
///
/// Thread safety: every member may be called from any thread.
class Gateway {
 public:
  /// @brief Starts all duties. Errors: those of HttpServer::Start.
  [[nodiscard]] static Result<std::unique_ptr<Gateway>> Start(const GatewayOptions& options);

  /// @brief Stops all duties; requests in progress are cut off unless Drain was called before.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @brief Replaces the upstreams that get new requests by a view that never becomes stale.
  void SetView(RoutingView view);

  /// @brief Stops accepting and waits for requests in progress. @return false on timeout.
  [[nodiscard]] bool Drain(std::chrono::milliseconds timeout);

  /// @brief The port that callers connect to.
  [[nodiscard]] std::uint16_t port() const;

  /// @brief The ring into the routing duty.
  [[nodiscard]] BoundedRing<RoutingEvent>& routing_events();

  /// @brief The ring into the claims duty, which is started by the owner of the gateway and has to
  /// end before the gateway does. Without GatewayOptions::uses_claims it stays empty.
  [[nodiscard]] BoundedRing<ClaimsEvent>& claims_events();

  /// @brief The ring into the jobs duties, which the owner starts and ends likewise. Without
  /// GatewayOptions::uses_scheduler it stays empty.
  [[nodiscard]] BoundedRing<CallerRequest>& job_requests();

  [[nodiscard]] metrics::MetricRegistry& metrics();
  [[nodiscard]] Responder responder();

 private:
  class Impl;
  explicit Gateway(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::gateway
