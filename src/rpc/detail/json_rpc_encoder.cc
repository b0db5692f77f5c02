// Compiled as C++14: see json_rpc_encoder.h.
#include "rpc/detail/json_rpc_encoder.h"

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/client.h>
#include <jsonrpccpp/client/iclientconnector.h>
#include <jsonrpccpp/common/exception.h>

namespace clementineloom {
namespace rpc {
namespace detail {
namespace {

class FunctionConnector : public jsonrpc::IClientConnector {
 public:
  explicit FunctionConnector(const std::function<std::string(const std::string&)>& exchange)
      : exchange_(exchange) {}

  // The exception specification has to match that of the library's interface.
  void SendRPCMessage(const std::string& message,
                      std::string& result) throw(jsonrpc::JsonRpcException) override {
    result = exchange_(message);
  }

 private:
  const std::function<std::string(const std::string&)>& exchange_;
};

std::string ToText(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  return Json::writeString(builder, value);
}

}  // namespace

JsonRpcOutcome CallJsonRpc(const std::string& method, const std::string& params,
                           const std::function<std::string(const std::string&)>& exchange) {
  JsonRpcOutcome outcome;
  FunctionConnector connector(exchange);
  jsonrpc::Client client(connector, jsonrpc::JSONRPC_CLIENT_V2);
  Json::Value parsed;
  Json::Reader().parse(params, parsed);
  try {
    outcome.result = ToText(client.CallMethod(method, parsed));
    outcome.is_ok = true;
  } catch (const jsonrpc::JsonRpcException& error) {
    outcome.error_code = error.GetCode();
    outcome.error_message = error.GetMessage();
    const Json::Value& data = error.GetData();
    if (data.isObject() && data["run_state"].isString()) {
      outcome.run_state = data["run_state"].asString();
    }
  }
  return outcome;
}

}  // namespace detail
}  // namespace rpc
}  // namespace clementineloom
