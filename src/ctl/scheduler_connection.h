#pragma once

#include <boost/json/object.hpp>
#include <chrono>
#include <string>

#include "clementineloom/errors/result.h"
#include "rpc/rpc_client.h"

namespace clementineloom::ctl {

/// @brief Calls the operators' methods of one scheduler. Nothing is retried.
///
/// Thread safety: none.
class SchedulerConnection {
 public:
  /// @param address IP:PORT; the first call opens the connection
  SchedulerConnection(const std::string& address, std::chrono::milliseconds timeout);

  /// @brief Calls a method whose result is an object.
  /// Errors: the scheduler's refusal, kPeerUnavailable, kWrongType (no object).
  [[nodiscard]] Result<boost::json::object> Call(const std::string& method,
                                                 const boost::json::object& params);

  [[nodiscard]] std::chrono::milliseconds timeout() const { return timeout_; }

 private:
  rpc::RpcClient client_;
  std::chrono::milliseconds timeout_;
};

}  // namespace clementineloom::ctl
