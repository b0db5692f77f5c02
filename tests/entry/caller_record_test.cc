#include <gtest/gtest.h>

#include <map>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr int kOk = 200;
constexpr int kUnavailable = 503;
constexpr Milliseconds kRunTime{500};

class CallerRecordTest : public ClusterTest {
 protected:
  static std::string Job(int number) {
    const std::string digits = std::to_string(number);
    return std::string(16 - digits.size(), '0') + digits;
  }
  // The two instances that are not the owner.
  static std::pair<std::size_t, std::size_t> Others(std::size_t owner) {
    return {owner == 0 ? 1 : 0, owner == 2 ? 1 : 2};
  }
  static std::string AppendProducerOf(std::size_t instance) {
    return "e" + std::to_string(instance) + "-";
  }
};

// Guards against overloading a slow store with separate appends of each instance.
TEST_F(CallerRecordTest, Submit_AtAnInstanceThatIsNotTheOwner_IsRecordedByTheOwner) {
  StandInCluster cluster(3, 2, kRunTime);
  const std::size_t owner = Owner(cluster);
  const std::size_t front = Others(owner).first;
  cluster.store.RefuseAppendsOf(AppendProducerOf(front), Milliseconds(0));
  const auto answer = cluster.Submit(front, Job(1), kOneTask);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, kOk);
  EXPECT_NE(cluster.Ask(front, "GET", "/urgent/" + Job(1))->status, 410);
  EXPECT_TRUE(cluster.RunUntilState(Job(1), "completed", Milliseconds(3'000)));
}

// Guards against callers that wait for a dead or frozen owner.
TEST_F(CallerRecordTest, Submit_WhenTheOwnerDoesNotAnswer_IsRecordedByTheInstanceItself) {
  StandInCluster cluster(3, 2, kRunTime);
  const std::size_t owner = Owner(cluster);
  const std::size_t front = Others(owner).first;
  cluster.port(front).Cut("10.0.2." + std::to_string(owner) + ":1");
  const auto answer = cluster.Submit(front, Job(1), kOneTask);
  ASSERT_TRUE(answer.has_value());
  EXPECT_EQ(answer->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState(Job(1), "completed", Milliseconds(3'000)));
  EXPECT_EQ(cluster.StartsOf(Job(1) + ".0.0.0"), 1);
}

// Guards against refusing a job while a peer that was asked meanwhile still records it: the caller
// was told that it did not run, and it started.
TEST_F(CallerRecordTest, Submit_RefusedHereWhileAPeerRecordsIt_IsNotRefused) {
  StandInCluster cluster(3, 2, kRunTime);
  const std::size_t owner = Owner(cluster);
  const auto [front, peer] = Others(owner);
  cluster.store.RefuseAppendsOf(AppendProducerOf(owner), Milliseconds(50));
  cluster.store.RefuseAppendsOf(AppendProducerOf(front), Milliseconds(450));
  cluster.store.DelayAppendsOf(AppendProducerOf(peer), Milliseconds(300));
  std::map<int, int> answers;
  for (int n = 0; n < 40; ++n) {
    // Each at a different time between two reads of the store.
    cluster.RunFor(Milliseconds(1'500 + 37 * n));
    // Makes its view of the store older than that of the peer.
    cluster.port(front).LoseAnswersOf("/log-read");
    cluster.RunFor(Milliseconds(300));
    const auto answer = cluster.Submit(front, Job(n), kOneTask);
    ASSERT_TRUE(answer.has_value());
    ++answers[answer->status];
    cluster.port(front).Heal(standin::StandInStore::kAddress);
    cluster.RunFor(Milliseconds(3'000));
    if (answer->status == kUnavailable) {
      EXPECT_EQ(cluster.StartsOf(Job(n) + ".0.0.0"), 0) << n;
    }
  }
  EXPECT_GT(answers[kOk], 0);
}

}  // namespace
}  // namespace clementineloom::entry
