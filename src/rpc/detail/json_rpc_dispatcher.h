#pragma once

#include <memory>
#include <string>
#include <vector>

#include "rpc/rpc_server.h"

namespace clementineloom::rpc::detail {

/// @brief Decodes a JSON-RPC request with libjsonrpccpp, calls the handler, encodes the answer.
///
/// Thread safety: Dispatch may be called from any thread.
class JsonRpcDispatcher {
 public:
  JsonRpcDispatcher(const std::vector<std::string>& methods, RpcServer::Handler handler);
  ~JsonRpcDispatcher();

  /// @brief The answer to a request; malformed input gives a JSON-RPC error.
  [[nodiscard]] std::string Dispatch(const std::string& request) const;

 private:
  class Impl;
  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::rpc::detail
