#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::rpc {

/// @brief Limits of an RpcServer.
struct RpcServerOptions {
  /// Numeric IP address to listen on.
  std::string address = "127.0.0.1";
  /// 0 lets the kernel choose.
  std::uint16_t port = 0;
  std::size_t max_connections = 256;
  std::size_t max_message_bytes = 4 * 1024 * 1024;
  std::size_t call_ring = 1024;
  /// Threads that run handlers; a handler may wait, for example for the log.
  std::size_t handler_threads = 4;

  friend auto operator<=>(const RpcServerOptions&, const RpcServerOptions&) = default;
};

}  // namespace clementineloom::rpc
