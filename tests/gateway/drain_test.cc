#include <gtest/gtest.h>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "fakes/fake_worker_server.h"
#include "gateway/gateway.h"
#include "support/raw_caller.h"
#include "support/value_or_die.h"

namespace clementineloom {
namespace {

using testing_support::RawCaller;
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

  // Sends each request on a connection of its own. Afterwards the kernel has accepted all of them.
  void SendAll() {
    for (std::size_t n = 0; n < kRequests; ++n) {
      const std::string body = std::to_string(n);
      callers_.emplace_back(gateway_->port());
      callers_.back().Send("POST /serve/x HTTP/1.1\r\nHost: h\r\nContent-Length: " +
                           std::to_string(body.size()) + "\r\n\r\n" + body);
    }
  }

  std::unique_ptr<fakes::FakeWorkerServer> worker_ =
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); });
  std::unique_ptr<gateway::Gateway> gateway_ =
      ValueOrDie([] { return gateway::Gateway::Start(Options()); });
  std::deque<RawCaller> callers_;
};

// Guards against a planned stop that aborts requests in progress, waiting requests, or requests
// that the kernel has accepted but the gateway has not read yet.
TEST_F(DrainTest, Drain_With200RequestsInProgress_AnswersAll) {
  gateway_->SetView(RoutingView(
      LogOffset(1), {Upstream{WorkerId(0), Loopback(worker_->port()), DataCentreId(0), 8}}));
  SendAll();
  // The first answer shows that requests are in progress.
  std::string first = callers_[0].ReadUntil("served /serve/x 0\n");
  EXPECT_TRUE(gateway_->Drain(std::chrono::seconds(60)));
  for (std::size_t n = 0; n < kRequests; ++n) {
    const std::string answer = (n == 0 ? first : std::string()) + callers_[n].ReadAll();
    EXPECT_TRUE(answer.starts_with("HTTP/1.1 200 ")) << n << ": " << answer;
    EXPECT_TRUE(answer.ends_with("\r\n\r\nserved /serve/x " + std::to_string(n) + "\n"))
        << n << ": " << answer;
  }
}

}  // namespace
}  // namespace clementineloom
