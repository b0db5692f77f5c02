#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr int kOk = 200;
constexpr int kTooManyRequests = 429;
// Each task holds one accelerator.
constexpr const char* kTenTasks =
    R"({"spec":"s","steps":[{"count":10,"cpu":100,"memMb":1,"gpus":1}]})";
constexpr const char* kGangOfSix =
    R"({"spec":"s","steps":[{"count":6,"cpu":100,"memMb":1,"gpus":1,"gang":true}]})";

/// Three instances, three workers, and a team with a quota.
class TeamQuotaClusterTest : public ClusterTest {
 protected:
  TeamQuotaClusterTest() { PublishQuota(2, 4); }

  void PublishQuota(int version, int accelerators) {
    cluster_.store.Put("keyed.op", "config",
                       R"({"version":)" + std::to_string(version) + R"(,"routes":[
      {"name":"urgent","host":"h","pathPrefix":"/urgent/","service":"inspect",
       "priority":1,"maxAttempts":5},
      {"name":"bulk","host":"h","pathPrefix":"/bulk/","service":"inspect","public":true}],
      "tenants":[{"name":"t","apiKeys":["key"],"cap":{"gpus":)" +
                           std::to_string(accelerators) + "}}]}");
    cluster_.RunFor(Milliseconds(500));
  }
  std::optional<net::HttpResponse> Submit(const std::string& job, const std::string& body) {
    return cluster_.Ask(0, "POST", "/urgent/" + job, body);
  }
  // The most tasks that ran at the same time over a span.
  std::size_t MostRunning(Milliseconds span) {
    std::size_t most = 0;
    for (Milliseconds passed{0}; passed < span; passed += Milliseconds(10)) {
      cluster_.RunFor(Milliseconds(10));
      most = std::max(most, cluster_.RunningCount());
    }
    return most;
  }

  StandInCluster cluster_{3, 3, Milliseconds(700)};
};

// Guards against starts beyond a quota, and against work that the quota keeps from ever ending.
TEST_F(TeamQuotaClusterTest, Job_WiderThanTheQuota_RunsInPartsAndCompletes) {
  ASSERT_EQ(Submit("00000000000000a1", kTenTasks)->status, kOk);
  EXPECT_EQ(MostRunning(Milliseconds(4'000)), 4U);
  EXPECT_TRUE(cluster_.RunUntilState("00000000000000a1", "completed", Milliseconds(5'000)));
}

// Guards against a new owner that does not know what runs.
TEST_F(TeamQuotaClusterTest, Owner_KilledWhileTheQuotaIsUsed_SuccessorKeepsTheQuota) {
  ASSERT_EQ(Submit("00000000000000a1", kTenTasks)->status, kOk);
  cluster_.RunFor(Milliseconds(100));
  cluster_.Kill(Owner(cluster_));
  EXPECT_EQ(MostRunning(Milliseconds(8'000)), 4U);
}

// Guards against starts under a quota that has fallen, and against runs that are stopped by it.
TEST_F(TeamQuotaClusterTest, Quota_ThatFallsWhileTasksRun_StartsNoneUntilThereIsRoom) {
  ASSERT_EQ(Submit("00000000000000a1", kTenTasks)->status, kOk);
  cluster_.RunFor(Milliseconds(100));
  ASSERT_EQ(cluster_.RunningCount(), 4U);
  PublishQuota(3, 2);
  EXPECT_EQ(cluster_.RunningCount(), 4U);
  cluster_.RunFor(Milliseconds(300));
  EXPECT_EQ(MostRunning(Milliseconds(3'000)), 2U);
}

// Guards against a start that was recorded under the earlier quota and is ordered under the later.
TEST_F(TeamQuotaClusterTest, Quota_ThatFallsWhileAStartIsRecorded_StartIsNotOrdered) {
  cluster_.store.QueueAppends(Milliseconds(400));
  const auto exchange = cluster_.Send(0, "POST", "/urgent/00000000000000a1", kTenTasks);
  cluster_.RunFor(Milliseconds(450));
  PublishQuota(3, 1);
  EXPECT_EQ(MostRunning(Milliseconds(4'000)), 1U);
  EXPECT_EQ(cluster_.AnswerTo(exchange)->status, kOk);
}

// Guards against a job that is accepted although it can never start.
TEST_F(TeamQuotaClusterTest, Gang_LargerThanTheQuota_IsRefusedWithTheReason) {
  const auto answer = Submit("00000000000000a1", kGangOfSix);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, kTooManyRequests);
  EXPECT_FALSE(answer->headers.Find("Retry-After").empty());
  EXPECT_NE(answer->body.find("quota_exceeded"), std::string::npos);
  EXPECT_NE(answer->body.find("needs 6 accelerators"), std::string::npos);
  PublishQuota(3, 0);
  cluster_.RunFor(Milliseconds(2'000));
  EXPECT_EQ(cluster_.RunningCount(), 0U);
}

// Guards against a gang of which a part runs once its team's quota has fallen below its size.
TEST_F(TeamQuotaClusterTest, Gang_AcceptedBeforeTheQuotaFell_Waits) {
  PublishQuota(3, 8);
  ASSERT_EQ(Submit("00000000000000a1", kTenTasks)->status, kOk);
  ASSERT_EQ(Submit("00000000000000a2", kGangOfSix)->status, kOk);
  PublishQuota(4, 5);
  cluster_.RunFor(Milliseconds(6'000));
  for (int member = 0; member < 6; ++member) {
    EXPECT_EQ(cluster_.StartsOf("00000000000000a2.0.0." + std::to_string(member)), 0);
  }
  PublishQuota(5, 8);
  EXPECT_TRUE(cluster_.RunUntilState("00000000000000a2", "completed", Milliseconds(5'000)));
}

}  // namespace
}  // namespace clementineloom::entry
