#pragma once

#include <cstddef>
#include <cstdint>

#include "gateway/routing_options.h"
#include "net/http_client_options.h"
#include "net/http_server_options.h"

namespace clementineloom::gateway {

/// @brief Options of a Gateway.
struct GatewayOptions {
  net::HttpServerOptions server;
  net::HttpClientOptions client;
  RoutingOptions routing;
  /// Capacity of the rings into the routing duty and the claims duty.
  std::size_t event_ring = 4096;
  /// Whether requests with an idempotency key go through a claims duty.
  bool uses_claims = false;
  /// Whether requests about jobs go through jobs duties.
  bool uses_scheduler = false;
  /// Capacity of the ring into the jobs duties.
  std::size_t jobs_ring = 256;
  /// Seed of the random choice between upstreams.
  std::uint64_t seed = 1;

  friend auto operator<=>(const GatewayOptions&, const GatewayOptions&) = default;
};

}  // namespace clementineloom::gateway
