#include <gtest/gtest.h>

#include <memory>

#include "rpc/rpc_server.h"
#include "support/log_file.h"
#include "support/raw_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::rpc {
namespace {

class ConnectionLimitTest : public testing::Test {
 protected:
  static constexpr const char* kEcho = R"({"jsonrpc":"2.0","method":"echo","params":{},"id":1})";

  static RpcServerOptions Options() {
    RpcServerOptions options;
    options.max_connections = 1;
    return options;
  }

  const testing_support::LogFile log_{"connection-limit"};
  std::unique_ptr<RpcServer> server_ = testing_support::ValueOrDie([] {
    return RpcServer::Start(Options(), {"echo"}, [](const RpcCall& call) {
      return Result<boost::json::value>(call.params);
    });
  });
};

// Guards against clients that are disconnected without a trace in the log.
TEST_F(ConnectionLimitTest, Connect_BeyondLimit_IsClosedAndLogged) {
  testing_support::RawCaller first(server_->port());
  first.Send(std::string(kEcho) + "\n");
  EXPECT_NE(first.ReadUntil("\n").find("result"), std::string::npos);
  testing_support::RawCaller second(server_->port());
  EXPECT_EQ(second.ReadAll(), "");
  EXPECT_TRUE(log_.Contains("event=rpc_connection_refused max_connections=1"));
}

}  // namespace
}  // namespace clementineloom::rpc
