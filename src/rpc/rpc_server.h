#pragma once

#include <boost/json/value.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clementineloom/errors/result.h"
#include "rpc/rpc_call.h"
#include "rpc/rpc_server_options.h"

namespace clementineloom::rpc {

/// @brief JSON-RPC 2.0 server over TCP, one message per line.
///
/// A refusal of the handler becomes a JSON-RPC error: its code is the ResultCode, its message the
/// detail, its data {"run_state"}. Calls of one connection are answered in order.
///
/// Thread safety: the handler is called from several threads at the same time.
class RpcServer {
 public:
  using Handler = std::function<Result<boost::json::value>(const RpcCall&)>;

  /// @brief Listens and starts the threads.
  /// @param methods names that may be called; others are answered with "method not found"
  /// Errors: kAddressNotNumeric, kInvalidValue (the address cannot be bound).
  [[nodiscard]] static Result<std::unique_ptr<RpcServer>> Start(
      RpcServerOptions options, const std::vector<std::string>& methods, Handler handler);

  ~RpcServer();
  RpcServer(const RpcServer&) = delete;
  RpcServer& operator=(const RpcServer&) = delete;

  [[nodiscard]] std::uint16_t port() const;

 private:
  class Impl;
  explicit RpcServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::rpc
