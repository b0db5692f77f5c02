#include <gtest/gtest.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <optional>
#include <string>

#include "clementineloom/concurrency/duty_thread.h"
#include "rpc/rpc_client.h"

namespace clementineloom::rpc {
namespace {

namespace asio = boost::asio;

class UnreadableAnswerTest : public testing::Test {
 protected:
  // The refusal of a call that a server answers with the given line.
  static std::optional<Refusal> RefusalOfCall(const std::string& answer) {
    asio::io_context context;
    asio::ip::tcp::acceptor acceptor(context, {asio::ip::address_v4::loopback(), 0});
    const DutyThread server("test-rpc", [&] {
      boost::system::error_code ec;
      asio::ip::tcp::socket socket = acceptor.accept();
      std::string request;
      asio::read_until(socket, asio::dynamic_buffer(request), '\n', ec);
      asio::write(socket, asio::buffer(answer + "\n"), ec);
    });
    RpcClient client("127.0.0.1:" + std::to_string(acceptor.local_endpoint().port()));
    return RefusalOf([&] { return client.Call("job.submit", {}, std::chrono::seconds(10)); });
  }
};

// Guards against "did not run" for a call whose answer cannot be read: its handler may have run.
TEST_F(UnreadableAnswerTest, Call_WithUnreadableAnswer_MayHaveRun) {
  for (const char* answer :
       {"", "<html>", "{", "[]", "{}", R"({"jsonrpc":"2.0","id":1})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":"x"}})",
        R"({"jsonrpc":"2.0","id":null,"error":{"code":-32700,"message":"parse error"}})",
        R"({"jsonrpc":"2.0","id":1,"error":{"code":-32603,"message":"internal error"}})"}) {
    const auto refusal = RefusalOfCall(answer);
    ASSERT_TRUE(refusal) << answer;
    EXPECT_EQ(refusal->run_state, RunState::kMayHaveRun) << answer;
  }
}

// Guards against an unknown outcome of a call that the server rejected before its handler.
TEST_F(UnreadableAnswerTest, Call_RejectedBeforeItsHandler_DidNotRun) {
  for (const char* code : {"-32600", "-32601", "-32602", "4006"}) {
    const auto refusal = RefusalOfCall(R"({"jsonrpc":"2.0","id":1,"error":{"code":)" +
                                       std::string(code) + R"(,"message":"rejected"}})");
    ASSERT_TRUE(refusal) << code;
    EXPECT_EQ(refusal->run_state, RunState::kDidNotRun) << code;
  }
}

}  // namespace
}  // namespace clementineloom::rpc
