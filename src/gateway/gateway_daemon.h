#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "clementineloom/errors/result.h"
#include "settings/gateway_settings.h"

namespace clementineloom::gateway {

/// @brief Runs all duties of loom-gateway.
///
/// Thread safety: must be used by one thread only.
class GatewayDaemon {
 public:
  /// @brief Starts all duties. Errors: kAddressNotNumeric, kInvalidValue (an address cannot be
  /// bound).
  [[nodiscard]] static Result<std::unique_ptr<GatewayDaemon>> Start(
      const settings::GatewaySettings& settings);

  ~GatewayDaemon();
  GatewayDaemon(const GatewayDaemon&) = delete;
  GatewayDaemon& operator=(const GatewayDaemon&) = delete;

  /// @brief Reports draining on GET /health, stops accepting connections and waits for requests in
  /// progress. @return false if drain_timeout_ms of the settings passed first
  [[nodiscard]] bool Drain();

  [[nodiscard]] std::uint16_t port() const;
  [[nodiscard]] std::uint16_t admin_port() const;

 private:
  class Impl;
  explicit GatewayDaemon(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::gateway
