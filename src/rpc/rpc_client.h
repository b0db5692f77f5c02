#pragma once

#include <boost/json/object.hpp>
#include <boost/json/value.hpp>
#include <chrono>
#include <memory>
#include <string>

#include "clementineloom/errors/result.h"

namespace clementineloom::rpc {

/// @brief Client of an RpcServer with one connection, opened when needed.
///
/// A connection on which an exchange failed or timed out is closed and not reused. Nothing is
/// retried. Thread safety: none; each duty has its own client.
class RpcClient {
 public:
  /// @param address IP:PORT
  explicit RpcClient(std::string address);
  ~RpcClient();
  RpcClient(RpcClient&&) noexcept;
  RpcClient& operator=(RpcClient&&) noexcept;

  /// @brief Calls a method and waits for its result.
  /// Errors: the server's refusal with its run state; kPeerUnavailable if the connection fails,
  /// with kDidNotRun before the call is sent and kMayHaveRun after; kPeerUnavailable with
  /// kMayHaveRun if the answer cannot be read.
  [[nodiscard]] Result<boost::json::value> Call(const std::string& method,
                                                const boost::json::object& params,
                                                std::chrono::milliseconds timeout);

  [[nodiscard]] const std::string& address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::rpc
