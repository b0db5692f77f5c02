#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::net {

/// @brief Limits of an HttpServer.
struct HttpServerOptions {
  /// IP number to listen on.
  std::string address = "127.0.0.1";
  /// 0 lets the kernel choose a free port.
  std::uint16_t port = 0;
  std::size_t max_connections = 1024;
  std::size_t max_header_bytes = 16 * 1024;
  std::size_t max_body_bytes = 8 * 1024 * 1024;
  /// Time to receive a complete request once its first byte has arrived.
  std::chrono::milliseconds request_timeout{10'000};
  /// Time that a connection may stay open without a request.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Time that idle connections stay open after BeginDrain, for requests in transit.
  std::chrono::milliseconds drain_grace{200};
  /// Time after BeginDrain from which a connection is closed after its next answer even if further
  /// input was received on it, and a request that is still being received is refused. Callers that
  /// always have another request on the way would keep a drain from ending.
  std::chrono::milliseconds drain_limit{3'000};
  /// Time for which input is read and discarded after the last answer of a connection, until its
  /// caller closes it. Shorter than the 200 ms after which a request without an answer counts as
  /// lost, since requests that cross the last answer are discarded.
  std::chrono::milliseconds linger_timeout{150};
  /// Capacity of the ring of answers to the I/O thread.
  std::size_t answer_ring = 4096;

  friend auto operator<=>(const HttpServerOptions&, const HttpServerOptions&) = default;
};

}  // namespace clementineloom::net
