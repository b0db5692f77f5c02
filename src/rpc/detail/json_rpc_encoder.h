#pragma once

#include <functional>
#include <string>

namespace clementineloom {
namespace rpc {
namespace detail {

/// @brief The decoded outcome of a JSON-RPC call.
struct JsonRpcOutcome {
  bool is_ok = false;
  /// JSON text of the result.
  std::string result;
  int error_code = 0;
  std::string error_message;
  /// The "run_state" of the error's data, or empty.
  std::string run_state;
};

/// @brief Encodes a call with libjsonrpccpp, sends it through `exchange` and decodes the answer.
///
/// This header is C++14, because the client half of libjsonrpccpp 0.7.0 does not compile as C++20.
/// @param params JSON text of an object
/// @param exchange sends a message and returns its answer, or an empty message; must not throw
JsonRpcOutcome CallJsonRpc(const std::string& method, const std::string& params,
                           const std::function<std::string(const std::string&)>& exchange);

}  // namespace detail
}  // namespace rpc
}  // namespace clementineloom
