#include <gtest/gtest.h>

#include <chrono>
#include <memory>
#include <string>
#include <thread>

#include "gateway/gateway_daemon.h"
#include "support/gateway_cluster.h"

namespace clementineloom {
namespace {

class IdleViewTest : public testing::Test {
 protected:
  static settings::GatewaySettings Settings() {
    settings::GatewaySettings settings;
    settings.common.instance = "gw1";
    settings.common.max_view_age_ms = 400;
    return settings;
  }

  bool IsRefused() {
    return !cluster_.Call(*gateway_, {"GET", "/serve/x", {}, {}})
                .headers.Find("X-Result-Code")
                .empty();
  }

  testing_support::GatewayCluster cluster_;
  std::unique_ptr<gateway::GatewayDaemon> gateway_ = cluster_.StartGateway(Settings());
};

// Guards against a view that is stale whenever the log is idle, because a read waits for records
// for as long as the view may be old. A pause of this process may still refuse a few calls.
TEST_F(IdleViewTest, Call_WhileLogIsIdle_IsNotRefusedAsStale) {
  constexpr int kCalls = 200;
  constexpr int kMaxRefused = kCalls / 10;
  int refused = 0;
  for (int n = 0; n < kCalls; ++n) {
    refused += IsRefused() ? 1 : 0;
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
  }
  EXPECT_LE(refused, kMaxRefused);
}

}  // namespace
}  // namespace clementineloom
