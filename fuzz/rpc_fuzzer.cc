#include <string>

#include "fuzz_target.h"
#include "rpc/detail/json_rpc_dispatcher.h"

// Checks that the dispatcher answers arbitrary input without an exception.
int LLVMFuzzerTestOneInput(const std::uint8_t* data, std::size_t size) {
  using clementineloom::Result;
  using clementineloom::rpc::RpcCall;
  static const clementineloom::rpc::detail::JsonRpcDispatcher dispatcher(
      {"echo"}, [](const RpcCall& call) -> Result<boost::json::value> { return {call.params}; });
  (void)dispatcher.Dispatch(std::string(reinterpret_cast<const char*>(data), size));
  return 0;
}
