#include "gateway/options_of.h"

#include <chrono>
#include <random>
#include <utility>

#include "net/http_server_options_at.h"

namespace clementineloom::gateway {
namespace {

using std::chrono::milliseconds;

// Only a few clients read the health page and the metrics.
constexpr std::size_t kAdminConnections = 32;
constexpr std::size_t kAdminBodyBytes = 4096;

RoutingOptions RoutingOptionsOf(const settings::GatewaySettings& settings) {
  RoutingOptions options;
  options.instance = settings.common.instance;
  options.request_timeout = milliseconds(settings.upstream_timeout_ms);
  options.max_view_age = milliseconds(settings.common.max_view_age_ms);
  options.max_attempts = settings.max_attempts;
  options.retry_budget_percent = settings.retry_budget_percent;
  return options;
}

}  // namespace

Result<GatewayOptions> GatewayOptionsOf(const settings::GatewaySettings& settings) {
  GatewayOptions options;
  BOOST_LEAF_ASSIGN(options.server, net::HttpServerOptionsAt(settings.listen));
  options.server.max_connections = settings.max_connections;
  options.server.max_header_bytes = settings.max_header_bytes;
  options.server.max_body_bytes = settings.max_body_bytes;
  options.server.request_timeout = milliseconds(settings.caller_timeout_ms);
  options.client.connect_timeout = milliseconds(settings.connect_timeout_ms);
  options.client.max_idle = milliseconds(settings.idle_connection_ms);
  options.routing = RoutingOptionsOf(settings);
  options.event_ring = settings.ring_capacity;
  options.seed = std::random_device()();
  options.uses_claims = true;
  options.uses_scheduler = !settings.scheduler_rpc.empty();
  return options;
}

Result<net::HttpServerOptions> AdminOptionsOf(const settings::GatewaySettings& settings) {
  BOOST_LEAF_AUTO(options, net::HttpServerOptionsAt(settings.common.admin));
  options.max_connections = kAdminConnections;
  options.max_body_bytes = kAdminBodyBytes;
  options.answer_ring = kAdminConnections;
  return options;
}

ClaimsOptions ClaimsOptionsOf(const settings::GatewaySettings& settings, std::string process) {
  ClaimsOptions options;
  options.instance = settings.common.instance;
  options.process = std::move(process);
  options.batch_time = milliseconds(settings.claim_batch_ms);
  options.run_limit = milliseconds(settings.upstream_timeout_ms) + options.claim_timeout;
  return options;
}

}  // namespace clementineloom::gateway
