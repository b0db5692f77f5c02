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
/// A connection whose call did not end cleanly is closed and never used again. Nothing is retried.
/// Thread safety: none; each duty has its own.
class RpcClient {
 public:
  /// @param address IP:PORT
  explicit RpcClient(std::string address);
  ~RpcClient();
  RpcClient(RpcClient&&) noexcept;
  RpcClient& operator=(RpcClient&&) noexcept;

  /// @brief Calls a method and waits for its result.
  /// Errors: the server's refusal with its run state; kPeerUnavailable when the connection failed:
  /// did not run before the call was sent, may have run after.
  [[nodiscard]] Result<boost::json::value> Call(const std::string& method,
                                                const boost::json::object& params,
                                                std::chrono::milliseconds timeout);

  [[nodiscard]] const std::string& address() const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::rpc
