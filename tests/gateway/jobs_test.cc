#include <gtest/gtest.h>

#include <boost/json/serialize.hpp>
#include <memory>
#include <string>

#include "rpc/rpc_server.h"
#include "support/gateway_cluster.h"
#include "support/value_or_die.h"

namespace clementineloom {
namespace {

class JobsTest : public testing::Test {
 protected:
  // Returns the call itself; a submission with the key "unknown" is refused with an unknown
  // outcome.
  static Result<boost::json::value> Echo(const rpc::RpcCall& call) {
    if (call.method == "job.submit" && call.params.at("key") == "unknown") {
      return Refuse(ResultCode::kAppendUnknown, "no answer of the log", RunState::kMayHaveRun);
    }
    return boost::json::value(
        boost::json::object{{"method", call.method}, {"params", call.params}});
  }

  std::unique_ptr<gateway::GatewayDaemon> StartGateway() {
    settings::GatewaySettings settings;
    settings.common.instance = "gw1";
    settings.common.max_view_age_ms = 60'000;
    settings.scheduler_rpc = cluster_.Loopback(scheduler_->port());
    return cluster_.StartGateway(settings);
  }

  net::HttpResponse Call(const std::string& method, const std::string& target,
                         const std::string& key, const std::string& body) {
    const net::HttpHeaders headers =
        net::HttpHeaders().With("X-Team", "team").With("Idempotency-Key", key);
    return cluster_.Call(*gateway_, {method, target, headers, body});
  }

  testing_support::GatewayCluster cluster_;
  std::unique_ptr<rpc::RpcServer> scheduler_ = testing_support::ValueOrDie([] {
    return rpc::RpcServer::Start({}, {"job.submit", "job.get", "job.cancel", "peer.view"}, Echo);
  });
  std::unique_ptr<gateway::GatewayDaemon> gateway_ = StartGateway();
};

// Guards against a job request that is translated into the wrong call of the scheduler.
TEST_F(JobsTest, Call_OfJobApi_IsForwardedToScheduler) {
  EXPECT_EQ(Call("POST", "/v1/jobs", "k1", R"({"team":"team"})").body,
            R"({"method":"job.submit","params":{"key":"k1","spec":{"team":"team"}}})"
            "\n");
  EXPECT_EQ(Call("GET", "/v1/jobs/7", {}, {}).body,
            "{\"method\":\"job.get\",\"params\":{\"job\":7}}\n");
  EXPECT_EQ(Call("DELETE", "/v1/jobs/7", {}, {}).body,
            "{\"method\":\"job.cancel\",\"params\":{\"jobs\":[7]}}\n");
}

// Guards against "did not run" for a submission that may have been appended to the log.
TEST_F(JobsTest, Post_WhenOutcomeIsUnknown_ReportsMayHaveRun) {
  const net::HttpResponse answer = Call("POST", "/v1/jobs", "unknown", R"({"team":"team"})");
  EXPECT_EQ(answer.headers.Find("X-Result-Code"), "5002");
  EXPECT_EQ(answer.headers.Find("X-Run-State"), "may_have_run");
}

// Guards against submissions for another team, and against "may have run" when the scheduler was
// not reached.
TEST_F(JobsTest, Post_WhenNotSent_ReportsDidNotRun) {
  EXPECT_EQ(Call("POST", "/v1/jobs", "k", R"({"team":"other"})").headers.Find("X-Result-Code"),
            "1001");
  scheduler_.reset();
  const net::HttpResponse answer = Call("POST", "/v1/jobs", "k", R"({"team":"team"})");
  EXPECT_EQ(answer.headers.Find("X-Result-Code"), "5008");
  EXPECT_EQ(answer.headers.Find("X-Run-State"), "did_not_run");
}

}  // namespace
}  // namespace clementineloom
