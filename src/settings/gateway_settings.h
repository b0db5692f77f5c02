#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "settings/common_settings.h"

namespace clementineloom::settings {

/// @brief Settings of loom-gateway.
struct GatewaySettings {
  CommonSettings common;
  /// IP:PORT for callers.
  std::string listen;
  /// IP:PORT of the RPC of the scheduler on the same instance.
  std::string scheduler_rpc;
  std::uint32_t max_connections = 1024;
  std::uint32_t max_header_bytes = 16'384;
  std::uint32_t max_body_bytes = 8'388'608;
  std::uint32_t caller_timeout_ms = 10'000;
  std::uint32_t upstream_timeout_ms = 30'000;
  std::uint32_t connect_timeout_ms = 1'000;
  std::uint32_t idle_connection_ms = 15'000;
  std::uint32_t max_attempts = 3;
  std::uint32_t retry_budget_percent = 10;
  std::uint32_t ring_capacity = 4'096;
  std::uint32_t claim_batch_ms = 2;

  friend auto operator<=>(const GatewaySettings&, const GatewaySettings&) = default;
};

}  // namespace clementineloom::settings
