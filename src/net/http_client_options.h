#pragma once

#include <chrono>
#include <cstddef>

namespace clementineloom::net {

/// @brief Limits of an HttpClient.
struct HttpClientOptions {
  std::chrono::milliseconds connect_timeout{1'000};
  /// An idle connection is closed after this time. Short, because a middlebox may drop idle
  /// connections silently.
  std::chrono::milliseconds max_idle{15'000};
  std::size_t max_idle_per_address = 64;
  /// Idle connections to all addresses together. Leaves half of the file descriptors of a small
  /// machine to connections in use.
  std::size_t max_idle_in_total = 2'000;
  std::size_t max_response_bytes = 16 * 1024 * 1024;
  std::size_t call_ring = 4096;

  friend auto operator<=>(const HttpClientOptions&, const HttpClientOptions&) = default;
};

}  // namespace clementineloom::net
