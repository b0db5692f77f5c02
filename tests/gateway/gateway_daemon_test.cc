#include "gateway/gateway_daemon.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "support/gateway_cluster.h"

namespace clementineloom {
namespace {

class GatewayDaemonTest : public testing::Test {
 protected:
  std::string CodeOfCall(const gateway::GatewayDaemon& daemon) {
    const net::HttpResponse response = cluster_.Call(daemon, {"GET", "/serve/x", {}, {}});
    return std::string(response.headers.Find("X-Result-Code"));
  }

  testing_support::GatewayCluster cluster_;
};

// Guards against requests to a data centre that was taken out of service.
TEST_F(GatewayDaemonTest, Call_AfterDataCentreIsTakenOut_IsRefused) {
  const auto daemon = cluster_.StartGateway("gw1");
  cluster_.SetInService(false);
  EXPECT_TRUE(cluster_.Eventually([&] { return CodeOfCall(*daemon) == "4007"; }));
  cluster_.SetInService(true);
  EXPECT_TRUE(cluster_.Eventually([&] { return CodeOfCall(*daemon).empty(); }));
}

// Guards against new requests to a leaving worker.
TEST_F(GatewayDaemonTest, Call_AfterWorkerIsListedAsLeaving_IsRefused) {
  const auto daemon = cluster_.StartGateway("gw1");
  cluster_.ListWorker(platform::InstanceState::kLeaving);
  EXPECT_TRUE(cluster_.Eventually([&] { return CodeOfCall(*daemon) == "4007"; }));
}

// Guards against routing on a stale view: a data centre may have been taken out of service since.
TEST_F(GatewayDaemonTest, Call_WhenLogIsFrozen_IsRefusedAsStaleUntilItAnswers) {
  settings::GatewaySettings settings;
  settings.common.instance = "gw1";
  settings.common.max_view_age_ms = 1'000;
  const auto daemon = cluster_.StartGateway(settings);
  cluster_.SetLogFaults(R"({"freeze":true})");
  EXPECT_TRUE(cluster_.Eventually([&] { return CodeOfCall(*daemon) == "5004"; }));
  cluster_.SetLogFaults(R"({"freeze":false})");
  EXPECT_TRUE(cluster_.Eventually([&] { return CodeOfCall(*daemon).empty(); }));
}

// Guards against a gateway that reports serving or accepts requests before it has read the log.
TEST_F(GatewayDaemonTest, Health_BeforeLogIsRead_IsNotServing) {
  cluster_.SetLogFaults(R"({"refuse":true})");
  settings::GatewaySettings settings;
  settings.listen = "127.0.0.1:0";
  settings.common.admin = "127.0.0.1:0";
  settings.common.instance = "gw1";
  settings.common.log_service = {"127.0.0.1:1"};
  settings.common.instance_list = "127.0.0.1:1";
  const auto daemon =
      testing_support::ValueOrDie([&] { return gateway::GatewayDaemon::Start(settings); });
  EXPECT_EQ(cluster_.HealthOf(*daemon).status, 503);
  EXPECT_EQ(CodeOfCall(*daemon), "4007");
  EXPECT_NE(cluster_.MetricsOf(*daemon).find("loom_refusals_total{reason=\"no_upstream\"} 1"),
            std::string::npos);
}

// Guards against a gateway that reports serving although its state may differ from that of others.
TEST_F(GatewayDaemonTest, Health_AfterRecordOfNewerSchema_IsOutdated) {
  const auto daemon = cluster_.StartGateway("gw1");
  cluster_.AppendPayload("control", R"({"v":99,"id":"x","type":"future"})");
  EXPECT_TRUE(cluster_.Eventually([&] { return cluster_.HealthOf(*daemon).body == "outdated\n"; }));
}

}  // namespace
}  // namespace clementineloom
