#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <vector>

#include "fakes/fake_worker_server.h"
#include "gateway/gateway.h"
#include "net/http_client.h"
#include "support/value_or_die.h"

namespace clementineloom {
namespace {

using testing_support::ValueOrDie;

class DrainTest : public testing::Test {
 protected:
  static constexpr std::size_t kRequests = 200;

  static gateway::GatewayOptions Options() {
    gateway::GatewayOptions options;
    options.routing.anonymous_limit = kRequests;
    options.routing.max_wait = std::chrono::seconds(30);
    return options;
  }

  static std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  void SendAll() {
    for (std::size_t n = 0; n < kRequests; ++n) {
      const net::HttpRequest request{"POST", "/serve/x", {}, std::to_string(n)};
      ASSERT_TRUE(callers_.Send(
          {net::CallId(n), Loopback(gateway_->port()), request, std::chrono::seconds(60)}));
    }
  }

  std::unique_ptr<fakes::FakeWorkerServer> worker_ =
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); });
  std::unique_ptr<gateway::Gateway> gateway_ =
      ValueOrDie([] { return gateway::Gateway::Start(Options()); });
  BoundedRing<net::ClientResult> results_{kRequests};
  net::HttpClient callers_{
      "callers", {}, [this](net::ClientResult result) { (void)results_.Push(std::move(result)); }};
};

// Guards the promise that a planned stop cuts off no request that is in progress or waits.
TEST_F(DrainTest, Drain_With200RequestsInProgress_AnswersAll) {
  gateway_->SetView(RoutingView(
      LogOffset(1), {Upstream{WorkerId(0), Loopback(worker_->port()), DataCentreId(0), 8}}));
  SendAll();
  // The first answer shows that requests are in progress.
  std::vector<net::ClientResult> results{*results_.Pop()};
  EXPECT_TRUE(gateway_->Drain(std::chrono::seconds(60)));
  while (results.size() < kRequests) {
    results.push_back(*results_.Pop());
  }
  for (const net::ClientResult& it : results) {
    ASSERT_TRUE(it.response) << it.id.value() << ": " << it.refusal->detail;
    EXPECT_EQ(it.response->status, 200);
    EXPECT_EQ(it.response->body, "served /serve/x " + std::to_string(it.id.value()) + "\n");
  }
}

}  // namespace
}  // namespace clementineloom
