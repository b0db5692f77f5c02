#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::gateway {

/// @brief Limits of the routing duty.
struct RoutingOptions {
  /// Name of the gateway, the first part of the request ids that it gives.
  std::string instance = "gateway";
  /// Time from the arrival of a request to its last attempt's end.
  std::chrono::milliseconds request_timeout{30'000};
  /// Time that a request waits for a slot.
  std::chrono::milliseconds max_wait{2'000};
  /// Requests that wait for a slot.
  std::size_t waiting_requests = 1024;
  /// Age of the view above which no request is sent (bounds of 4 s for a data centre taken out
  /// and of 3 s for a leaving worker).
  std::chrono::milliseconds max_view_age{2'000};
  std::uint32_t max_attempts = 3;
  std::uint32_t retry_budget_percent = 10;
  /// Requests in progress of all callers without X-Team.
  std::uint32_t anonymous_limit = 64;

  friend auto operator<=>(const RoutingOptions&, const RoutingOptions&) = default;
};

}  // namespace clementineloom::gateway
