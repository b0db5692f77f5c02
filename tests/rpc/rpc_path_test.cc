#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>

#include "rpc/rpc_client.h"
#include "rpc/rpc_server.h"
#include "support/value_or_die.h"

namespace clementineloom::rpc {
namespace {

using testing_support::ValueOrDie;

constexpr std::chrono::seconds kTimeout(10);

class RpcPathTest : public testing::Test {
 protected:
  static Result<boost::json::value> Handle(const RpcCall& call) {
    if (call.method == "refuse") {
      return Refuse(ResultCode::kUnknownJob, "job 7", RunState::kDidNotRun);
    }
    return boost::json::value(call.params);
  }

  static std::unique_ptr<RpcServer> StartServer() {
    return ValueOrDie([] { return RpcServer::Start({}, {"echo", "refuse"}, Handle); });
  }

  std::optional<Refusal> RefusalOfCall(const std::string& method) {
    return RefusalOf([&] { return client_.Call(method, {}, kTimeout); });
  }

  std::unique_ptr<RpcServer> server_ = StartServer();
  RpcClient client_{"127.0.0.1:" + std::to_string(server_->port())};
};

// Guards against parameters or results that change in transit.
TEST_F(RpcPathTest, Call_OfKnownMethod_ReturnsItsResult) {
  for (int n = 0; n < 10; ++n) {
    const boost::json::object params{{"n", n}, {"text", "line\nbreak"}};
    EXPECT_EQ(ValueOrDie([&] { return client_.Call("echo", params, kTimeout); }),
              boost::json::value(params));
  }
}

// Guards against a refusal that loses its code, detail or run state between processes.
TEST_F(RpcPathTest, Call_ThatIsRefused_ReturnsTheRefusal) {
  const auto refusal = RefusalOfCall("refuse");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kUnknownJob);
  EXPECT_EQ(refusal->run_state, RunState::kDidNotRun);
  EXPECT_EQ(refusal->detail, "job 7");
}

// Guards against a server that exits or does not answer when an unknown method is called.
TEST_F(RpcPathTest, Call_OfUnknownMethod_IsRefused) {
  EXPECT_TRUE(RefusalOfCall("absent"));
  EXPECT_FALSE(RefusalOfCall("echo"));
}

// Guards against "may have run" for a call that was never sent.
TEST_F(RpcPathTest, Call_WithoutServer_IsRefusedAsNotRun) {
  server_.reset();
  const auto refusal = RefusalOfCall("echo");
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kPeerUnavailable);
  EXPECT_EQ(refusal->run_state, RunState::kDidNotRun);
}

}  // namespace
}  // namespace clementineloom::rpc
