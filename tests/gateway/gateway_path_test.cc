#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_worker_server.h"
#include "gateway/gateway.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom {
namespace {

using testing_support::HttpCaller;
using testing_support::ValueOrDie;

class GatewayPathTest : public testing::Test {
 protected:
  static std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  void ServeFrom(const std::string& address) {
    std::vector<Upstream> upstreams{Upstream{WorkerId(0), address, DataCentreId(0), 8}};
    gateway_->SetView(RoutingView(LogOffset(1), std::move(upstreams)));
  }

  net::ClientResult Call(const std::string& body) {
    const net::HttpHeaders headers({{"X-Request-Id", body}});
    return caller_.Call(Loopback(gateway_->port()), {"POST", "/serve/echo", headers, body});
  }

  std::unique_ptr<fakes::FakeWorkerServer> worker_ =
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); });
  std::unique_ptr<gateway::Gateway> gateway_ =
      ValueOrDie([] { return gateway::Gateway::Start({}); });
  HttpCaller caller_;
};

// Guards against a caller that gets no response, or the response to another request.
TEST_F(GatewayPathTest, Call_WithOneUpstream_ReturnsAnswerToOwnRequest) {
  ServeFrom(Loopback(worker_->port()));
  for (int n = 0; n < 100; ++n) {
    const std::string body = "request-" + std::to_string(n);
    const net::ClientResult result = Call(body);
    ASSERT_TRUE(result.response);
    EXPECT_EQ(result.response->status, 200);
    EXPECT_EQ(result.response->body, "served /serve/echo " + body + "\n");
    EXPECT_EQ(result.response->headers.Find("X-Request-Id"), body);
  }
}

// Guards against a caller that waits forever, or a refusal without a run state.
TEST_F(GatewayPathTest, Call_WithoutUpstream_IsRefusedAsNotRun) {
  const net::ClientResult result = Call("request");
  ASSERT_TRUE(result.response);
  EXPECT_EQ(result.response->status, 503);
  EXPECT_EQ(result.response->headers.Find("X-Result-Code"), "4007");
  EXPECT_EQ(result.response->headers.Find("X-Run-State"), "did_not_run");
}

// Guards against "may have run" for a request that was never sent, which would prevent a safe
// retry.
TEST_F(GatewayPathTest, Call_WhenUpstreamRefusesConnection_IsRefusedAsNotRun) {
  const std::string address = Loopback(worker_->port());
  worker_.reset();
  ServeFrom(address);
  const net::ClientResult result = Call("request");
  ASSERT_TRUE(result.response);
  EXPECT_EQ(result.response->headers.Find("X-Run-State"), "did_not_run");
}

// Guards against a drain that never completes because idle connections stay open.
TEST_F(GatewayPathTest, Drain_WithIdleConnections_Finishes) {
  ServeFrom(Loopback(worker_->port()));
  ASSERT_TRUE(Call("request").response);
  EXPECT_TRUE(gateway_->Drain(std::chrono::seconds(10)));
}

}  // namespace
}  // namespace clementineloom
