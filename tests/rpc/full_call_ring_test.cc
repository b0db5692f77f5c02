#include <gtest/gtest.h>

#include <boost/json/parse.hpp>
#include <memory>
#include <string>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/duty_thread.h"
#include "rpc/rpc_server.h"
#include "support/raw_caller.h"
#include "support/value_or_die.h"

namespace clementineloom::rpc {
namespace {

namespace json = boost::json;

// A server with one handler, which waits for the test, and room for one more call.
class FullCallRingTest : public testing::Test {
 protected:
  ~FullCallRingTest() override { release_.Close(); }

  static json::value Parse(const std::string& text) {
    boost::system::error_code ec;
    json::value value = json::parse(text, ec);
    EXPECT_FALSE(ec) << text;
    return value;
  }

  // The answer to the one call that is refused while the handler is occupied. All calls after the
  // first one have the same id.
  std::string RefusalOfCall(const std::string& id) {
    first_.Send(Request("1"));
    (void)entered_.Pop();
    second_.Send(Request(id));
    third_.Send(Request(id));
    return *answers_.Pop();
  }

 private:
  static std::string Request(const std::string& id) {
    return R"({"jsonrpc":"2.0","method":"wait","params":{},"id":)" + id + "}\n";
  }

  Result<json::value> Wait() {
    (void)entered_.TryPush(true);
    (void)release_.Pop();
    return json::value(json::object());
  }

  static RpcServerOptions Options() {
    RpcServerOptions options;
    options.call_ring = 1;
    options.handler_threads = 1;
    return options;
  }

  BoundedRing<bool> entered_{1};
  // Nothing is pushed; closing the ring ends the waits.
  BoundedRing<bool> release_{1};
  BoundedRing<std::string> answers_{2};
  std::unique_ptr<RpcServer> server_ = testing_support::ValueOrDie([this] {
    return RpcServer::Start(Options(), {"wait"}, [this](const RpcCall&) { return Wait(); });
  });
  testing_support::RawCaller first_{server_->port()};
  testing_support::RawCaller second_{server_->port()};
  testing_support::RawCaller third_{server_->port()};
  DutyThread second_reader_{"reader-2", [this] { (void)answers_.Push(second_.ReadUntil("\n")); }};
  DutyThread third_reader_{"reader-3", [this] { (void)answers_.Push(third_.ReadUntil("\n")); }};
};

// Guards against a refusal that a client cannot match with its call, or that leaves open whether
// the call ran.
TEST_F(FullCallRingTest, Call_WhenRingIsFull_IsRefusedUnderItsId) {
  const json::value answer = Parse(RefusalOfCall("7"));
  EXPECT_EQ(answer.at("id"), 7);
  EXPECT_EQ(answer.at("error").at("code"), 4006);
  ASSERT_NE(answer.at("error").as_object().if_contains("data"), nullptr);
  EXPECT_EQ(answer.at("error").at("data").at("run_state"), "did_not_run");
}

// Guards against an id that is changed in the refusal.
TEST_F(FullCallRingTest, Call_WithTextAsIdWhenRingIsFull_IsRefusedUnderItsId) {
  EXPECT_EQ(Parse(RefusalOfCall(R"("a\"b")")).at("id"), "a\"b");
}

}  // namespace
}  // namespace clementineloom::rpc
