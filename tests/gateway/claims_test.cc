#include <gtest/gtest.h>

#include <memory>
#include <string>

#include "support/gateway_cluster.h"

namespace clementineloom {
namespace {

class ClaimsTest : public testing::Test {
 protected:
  net::HttpResponse Post(const gateway::GatewayDaemon& daemon, const std::string& key,
                         const std::string& body = "body") {
    const net::HttpHeaders headers({{"Idempotency-Key", key}, {"X-Request-Id", key}});
    return cluster_.Call(daemon, {"POST", "/serve/book", headers, body});
  }

  static std::string CodeOf(const net::HttpResponse& response) {
    return std::string(response.headers.Find("X-Result-Code"));
  }

  static std::string RunStateOf(const net::HttpResponse& response) {
    return std::string(response.headers.Find("X-Run-State"));
  }

  testing_support::GatewayCluster cluster_;
  std::unique_ptr<gateway::GatewayDaemon> first_ = cluster_.StartGateway("gw1");
  std::unique_ptr<gateway::GatewayDaemon> second_ = cluster_.StartGateway("gw2");
};

// Guards against a second run when a caller retries through another gateway.
TEST_F(ClaimsTest, Post_RepeatedAtOtherGateway_ReturnsFirstAnswer) {
  const net::HttpResponse answer = Post(*first_, "k1");
  ASSERT_EQ(answer.status, 200);
  net::HttpResponse repeated;
  // The outcome is recorded after the answer; until it is read, the request is in progress.
  ASSERT_TRUE(cluster_.Eventually([&] {
    repeated = Post(*second_, "k1");
    return CodeOf(repeated) != "4014";
  }));
  EXPECT_EQ(repeated.status, 200);
  EXPECT_EQ(repeated.body, answer.body);
  EXPECT_EQ(Post(*first_, "k1").body, answer.body);
  EXPECT_EQ(cluster_.RunsOf("k1"), 1U);
}

// Guards against a request that runs, or gets a stored response, under the key of a different one.
TEST_F(ClaimsTest, Post_WithKeyOfDifferentRequest_IsRefusedAsNotRun) {
  ASSERT_EQ(Post(*first_, "k1").status, 200);
  for (const auto* it : {&first_, &second_}) {
    const net::HttpResponse refused = Post(**it, "k1", "other body");
    EXPECT_EQ(CodeOf(refused), "4013");
    EXPECT_EQ(RunStateOf(refused), "did_not_run");
  }
  EXPECT_EQ(cluster_.RunsOf("k1"), 1U);
}

// Guards against a run without a claim while the log refuses appends.
TEST_F(ClaimsTest, Post_WhenLogRefuses_DoesNotRun) {
  cluster_.SetLogFaults(R"({"refuse":true})");
  const net::HttpResponse refused = Post(*first_, "k1");
  EXPECT_EQ(CodeOf(refused), "4011");
  EXPECT_EQ(RunStateOf(refused), "did_not_run");
  EXPECT_EQ(cluster_.RunsOf("k1"), 0U);
  cluster_.SetLogFaults(R"({"refuse":false})");
  EXPECT_EQ(Post(*first_, "k1").status, 200);
  EXPECT_EQ(cluster_.RunsOf("k1"), 1U);
}

// Guards against a refusal, or a second run, when only the response to the append is lost.
TEST_F(ClaimsTest, Post_WhenAnswerOfAppendIsLost_RunsOnce) {
  cluster_.SetLogFaults(R"({"lose_answer":1})");
  EXPECT_EQ(Post(*first_, "k1").status, 200);
  EXPECT_EQ(cluster_.RunsOf("k1"), 1U);
}

// Guards against a second run by a restarted gateway, which has to read back its own claims.
TEST_F(ClaimsTest, Post_RepeatedAfterRestart_ReturnsFirstAnswer) {
  const net::HttpResponse answer = Post(*first_, "k1");
  ASSERT_EQ(answer.status, 200);
  first_.reset();
  first_ = cluster_.StartGateway("gw1");
  EXPECT_EQ(Post(*first_, "k1").body, answer.body);
  EXPECT_EQ(cluster_.RunsOf("k1"), 1U);
}

// Guards against a key that stays blocked, or runs twice, after the response of the worker was
// lost.
TEST_F(ClaimsTest, Post_WhenAnswerOfWorkerIsLost_RunsOnce) {
  cluster_.SetWorkerFaults(R"({"lose_answer":1})");
  const net::HttpResponse lost = Post(*first_, "k1");
  EXPECT_EQ(CodeOf(lost), "4008");
  EXPECT_EQ(RunStateOf(lost), "may_have_run");
  net::HttpResponse repeated;
  ASSERT_TRUE(cluster_.Eventually([&] {
    repeated = Post(*second_, "k1");
    return CodeOf(repeated) != "4014";
  }));
  EXPECT_EQ(CodeOf(repeated), "4010");
  EXPECT_EQ(RunStateOf(repeated), "may_have_run");
  EXPECT_EQ(cluster_.RunsOf("k1"), 1U);
}

}  // namespace
}  // namespace clementineloom
