#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::gateway {

/// @brief Limits of the routing duty.
struct RoutingOptions {
  /// Name of the gateway; prefix of the request ids that it generates.
  std::string instance = "gateway";
  /// Time from the arrival of a request to the end of its last attempt.
  std::chrono::milliseconds request_timeout{30'000};
  /// How long a request waits for a free slot.
  std::chrono::milliseconds max_wait{2'000};
  /// Limit of requests that wait for a free slot.
  std::size_t waiting_requests = 1024;
  /// No request is sent on a view older than this. It keeps to the bounds of 4 s for a data centre
  /// taken out of service and of 3 s for a leaving worker.
  std::chrono::milliseconds max_view_age{2'000};
  std::uint32_t max_attempts = 3;
  std::uint32_t retry_budget_percent = 10;
  /// Limit of requests in progress of all callers without X-Team together.
  std::uint32_t anonymous_limit = 64;

  friend auto operator<=>(const RoutingOptions&, const RoutingOptions&) = default;
};

}  // namespace clementineloom::gateway
