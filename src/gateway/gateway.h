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
/// Thread safety: every member function may be called from any thread.
class Gateway {
 public:
  /// @brief Starts all duties. Errors: those of HttpServer::Start.
  [[nodiscard]] static Result<std::unique_ptr<Gateway>> Start(const GatewayOptions& options);

  /// @brief Stops all duties. Requests in progress are aborted unless Drain was called first.
  ~Gateway();
  Gateway(const Gateway&) = delete;
  Gateway& operator=(const Gateway&) = delete;

  /// @brief Sets the upstreams for new requests. The view never becomes stale.
  void SetView(RoutingView view);

  /// @brief Stops accepting connections and waits for requests in progress.
  /// @return false on timeout
  [[nodiscard]] bool Drain(std::chrono::milliseconds timeout);

  /// @brief The port that callers connect to.
  [[nodiscard]] std::uint16_t port() const;

  /// @brief The ring into the routing duty.
  [[nodiscard]] BoundedRing<RoutingEvent>& routing_events();

  /// @brief The ring into the claims duty. The owner of the gateway starts that duty and has to
  /// stop it before destroying the gateway. Without GatewayOptions::uses_claims the ring stays
  /// empty.
  [[nodiscard]] BoundedRing<ClaimsEvent>& claims_events();

  /// @brief The ring into the jobs duties, which the owner starts and stops in the same way.
  /// Without GatewayOptions::uses_scheduler the ring stays empty.
  [[nodiscard]] BoundedRing<CallerRequest>& job_requests();

  [[nodiscard]] metrics::MetricRegistry& metrics();
  [[nodiscard]] Responder responder();

 private:
  class Impl;
  explicit Gateway(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::gateway
