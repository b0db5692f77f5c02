#include <gtest/gtest.h>

#include <chrono>
#include <map>
#include <memory>
#include <string>

#include "fakes/fake_worker_server.h"
#include "gateway/gateway.h"
#include "net/http_client.h"
#include "support/http_caller.h"
#include "support/value_or_die.h"

namespace clementineloom {
namespace {

using testing_support::ValueOrDie;

class LimitsTest : public testing::Test {
 protected:
  static constexpr std::size_t kWaitingRequests = 4;

  static std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

  void Start(std::chrono::milliseconds max_wait) {
    gateway::GatewayOptions options;
    options.routing.waiting_requests = kWaitingRequests;
    options.routing.max_wait = max_wait;
    gateway_ = ValueOrDie([&] { return gateway::Gateway::Start(options); });
    const Upstream upstream{WorkerId(0), Loopback(worker_->port()), DataCentreId(0), 1};
    gateway_->SetView(RoutingView(LogOffset(1), {upstream}, {{"large", 50}, {"small", 1}}));
  }

  void Freeze(bool is_frozen) {
    const std::string body = std::string(R"({"freeze":)") + (is_frozen ? "true}" : "false}");
    (void)caller_.Call(Loopback(worker_->port()), {"POST", "/v1/faults", {}, body});
  }

  void Send(const std::string& team, int requests) {
    for (int n = 0; n < requests; ++n) {
      const net::HttpHeaders headers = net::HttpHeaders().With("X-Team", team);
      ASSERT_TRUE(callers_.Send({net::CallId(++last_call_),
                                 Loopback(gateway_->port()),
                                 {"POST", "/serve/" + team, headers, {}},
                                 std::chrono::seconds(30)}));
      teams_.emplace(last_call_, team);
    }
  }

  // Counts the next results by team and result code; the code of a success is empty.
  std::map<std::string, int> Results(int results) {
    std::map<std::string, int> counts;
    for (int n = 0; n < results; ++n) {
      const net::ClientResult result = *results_.Pop();
      const std::string code(result.response->headers.Find("X-Result-Code"));
      ++counts[teams_[result.id.value()] + code];
    }
    return counts;
  }

  std::unique_ptr<fakes::FakeWorkerServer> worker_ =
      ValueOrDie([] { return fakes::FakeWorkerServer::Start(0); });
  std::unique_ptr<gateway::Gateway> gateway_;
  testing_support::HttpCaller caller_;
  std::map<std::uint64_t, std::string> teams_;
  std::uint64_t last_call_ = 0;
  BoundedRing<net::ClientResult> results_{64};
  net::HttpClient callers_{
      "callers", {}, [this](net::ClientResult result) { (void)results_.Push(std::move(result)); }};
};

// Guards against a full queue that refuses the team with the fewest waiting requests.
TEST_F(LimitsTest, Call_OfSmallTeam_WhenLargeTeamFillsTheQueue_IsServed) {
  Start(std::chrono::seconds(30));
  Freeze(true);
  Send("large", 5);
  Send("small", 1);
  // One is in progress and four wait; the sixth request displaces one of the large team.
  EXPECT_EQ(Results(1), (std::map<std::string, int>{{"large4005", 1}}));
  Freeze(false);
  EXPECT_EQ(Results(5), (std::map<std::string, int>{{"large", 4}, {"small", 1}}));
}

// Guards against a team that exceeds its limit of requests in progress, and against endless waits.
TEST_F(LimitsTest, Call_BeyondTeamLimit_IsRefusedAfterMaxWait) {
  Start(std::chrono::milliseconds(100));
  Freeze(true);
  Send("small", 2);
  EXPECT_EQ(Results(1), (std::map<std::string, int>{{"small4004", 1}}));
  Freeze(false);
  EXPECT_EQ(Results(1), (std::map<std::string, int>{{"small", 1}}));
  EXPECT_NE(gateway_->metrics().Expose().find("reason=\"team_limit_reached\"} 1"),
            std::string::npos);
}

// Guards against requests of a team that is not configured.
TEST_F(LimitsTest, Call_OfUnknownTeam_IsRefused) {
  Start(std::chrono::seconds(30));
  Send("stranger", 1);
  EXPECT_EQ(Results(1), (std::map<std::string, int>{{"stranger2003", 1}}));
}

}  // namespace
}  // namespace clementineloom
