#include "rpc/detail/json_rpc_dispatcher.h"

#include <json/reader.h>
#include <json/writer.h>
#include <jsonrpccpp/common/exception.h>
#include <jsonrpccpp/common/procedure.h>
#include <jsonrpccpp/server/iprocedureinvokationhandler.h>
#include <jsonrpccpp/server/requesthandlerfactory.h>

#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <exception>
#include <optional>
#include <utility>

#include "clementineloom/errors/run_state_name.h"

namespace clementineloom::rpc::detail {
namespace {

// libjsonrpccpp uses JsonCpp, the rest of the project Boost.JSON; values are converted
// through their JSON text.
boost::json::object ToBoost(const Json::Value& value) {
  Json::StreamWriterBuilder builder;
  builder["indentation"] = "";
  boost::system::error_code ec;
  const boost::json::value parsed = boost::json::parse(Json::writeString(builder, value), ec);
  return !ec && parsed.is_object() ? parsed.get_object() : boost::json::object();
}

Json::Value ToJsonCpp(const boost::json::value& value) {
  Json::Value parsed;
  Json::Reader().parse(boost::json::serialize(value), parsed);
  return parsed;
}

}  // namespace

class JsonRpcDispatcher::Impl : public jsonrpc::IProcedureInvokationHandler {
 public:
  Impl(const std::vector<std::string>& methods, RpcServer::Handler handler)
      : handler_(std::move(handler)),
        protocol_(jsonrpc::RequestHandlerFactory::createProtocolHandler(jsonrpc::JSONRPC_SERVER_V2,
                                                                        *this)) {
    for (const std::string& it : methods) {
      protocol_->AddProcedure(
          jsonrpc::Procedure(it, jsonrpc::PARAMS_BY_NAME, jsonrpc::JSON_OBJECT, nullptr));
    }
  }

  std::string Dispatch(const std::string& request) const {
    std::string response;
    try {
      protocol_->HandleRequest(request, response);
    } catch (const std::exception& error) {
      // JsonCpp throws on input that nests too deeply.
      return R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error"}})";
    }
    return response;
  }

  void HandleMethodCall(jsonrpc::Procedure& procedure, const Json::Value& input,
                        Json::Value& output) override {
    const RpcCall call{procedure.GetProcedureName(), ToBoost(input)};
    boost::json::value value;
    const std::optional<Refusal> refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(value, handler_(call));
      return {};
    });
    if (refusal) {
      Json::Value data;
      data["run_state"] = std::string(RunStateName(refusal->run_state));
      throw jsonrpc::JsonRpcException(static_cast<int>(refusal->code), refusal->detail, data);
    }
    output = ToJsonCpp(value);
  }

  void HandleNotificationCall(jsonrpc::Procedure& /*procedure*/,
                              const Json::Value& /*input*/) override {}

 private:
  RpcServer::Handler handler_;
  std::unique_ptr<jsonrpc::IProtocolHandler> protocol_;
};

JsonRpcDispatcher::JsonRpcDispatcher(const std::vector<std::string>& methods,
                                     RpcServer::Handler handler)
    : impl_(std::make_unique<Impl>(methods, std::move(handler))) {}

JsonRpcDispatcher::~JsonRpcDispatcher() = default;

std::string JsonRpcDispatcher::Dispatch(const std::string& request) const {
  return impl_->Dispatch(request);
}

}  // namespace clementineloom::rpc::detail
