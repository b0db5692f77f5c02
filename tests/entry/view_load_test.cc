#include <gtest/gtest.h>

#include <cstdint>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kJobPath = "/urgent/00000000000000a1";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr Milliseconds kRunTime{60'000};
constexpr Milliseconds kPageDelay{300};
// An instance with an older view does not report a job as missing.
constexpr Milliseconds kMaxViewAge{2'400};
constexpr int kOk = 200;
constexpr int kGone = 410;

class ViewLoadTest : public ClusterTest {};

// Guards against an instance that reports an accepted job as missing after it has loaded only some
// of the pages.
TEST_F(ViewLoadTest, Show_WhileAStartedInstanceLoads_ReportsNoAcceptedJobAsMissing) {
  StandInCluster cluster(2, 1, kRunTime);
  const std::size_t owner = Owner(cluster);
  const std::size_t other = 1 - owner;
  ASSERT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(3'000));
  cluster.store.CutPages(1, kPageDelay);
  cluster.Kill(other);
  cluster.Restart(other);
  std::string last;
  for (int n = 0; n < 30; ++n) {
    cluster.RunFor(Milliseconds(100));
    const auto answer = cluster.Ask(other, "GET", kJobPath);
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer->status, kGone) << n;
    last = answer->body;
  }
  EXPECT_NE(last.find("running"), std::string::npos) << last;
}

// Guards against an instance that reports an accepted job as missing while its reads are far behind
// the end of the topic.
TEST_F(ViewLoadTest, Show_WhileReadsLagBehind_ReportsNoAcceptedJobAsMissing) {
  StandInCluster cluster(2, 1, kRunTime);
  const std::size_t owner = Owner(cluster);
  const std::size_t other = 1 - owner;
  cluster.store.CutBatches(1);
  // Reading them one at a time takes longer than this test.
  for (int n = 1'000; n < 4'000; ++n) {
    cluster.store.Put("keyed.loom", "c/000000000000" + std::to_string(n), "true");
  }
  ASSERT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
  cluster.RunFor(kMaxViewAge);
  for (int n = 0; n < 30; ++n) {
    cluster.RunFor(Milliseconds(100));
    const auto answer = cluster.Ask(other, "GET", kJobPath);
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer->status, kGone) << n;
  }
}

// Guards against a load that begins anew after each page without an answer: many instances that
// load from a slow store would never finish.
TEST_F(ViewLoadTest, Load_WithOnePageWithoutAnswer_RequestsThatPageAgainOnly) {
  StandInCluster cluster(2, 1, kRunTime);
  const std::size_t other = 1 - Owner(cluster);
  cluster.store.CutPages(1, kPageDelay);
  const auto pages_of_a_start = [&](Milliseconds loss_at, Milliseconds loss) {
    const int before = cluster.store.requested_pages();
    cluster.Kill(other);
    cluster.Restart(other);
    cluster.RunFor(loss_at);
    if (loss.count() > 0) {
      cluster.port(other).LoseAnswersOf("/log-newest?topic=keyed.loom");
    }
    cluster.RunFor(loss);
    cluster.port(other).Heal(standin::StandInStore::kAddress);
    cluster.RunFor(Milliseconds(8'000));
    return cluster.store.requested_pages() - before;
  };
  const int pages = pages_of_a_start(Milliseconds(0), Milliseconds(0));
  EXPECT_EQ(pages_of_a_start(2 * kPageDelay, kPageDelay), pages + 1);
}

// Guards against an instance that reports an accepted job as missing because it takes an answer
// that has waited for its busy process for a recent view.
TEST_F(ViewLoadTest,
       Show_AfterAnAnswerOfTheStoreWaitedForTheProcess_ReportsNoAcceptedJobAsMissing) {
  for (int n = 0; n < 20; ++n) {
    StandInCluster cluster(2, 1, kRunTime);
    const std::size_t owner = Owner(cluster);
    const std::size_t other = 1 - owner;
    cluster.RunFor(Milliseconds(37 * n));
    cluster.port(other).Freeze();
    cluster.RunFor(Milliseconds(600));
    ASSERT_EQ(cluster.Submit(owner, kJob, kOneTask)->status, kOk);
    cluster.RunFor(kMaxViewAge);
    cluster.port(other).Thaw();
    const std::uint64_t exchange = cluster.Send(other, "GET", kJobPath);
    cluster.RunFor(Milliseconds(1'000));
    const auto answer = cluster.AnswerTo(exchange);
    ASSERT_TRUE(answer.has_value());
    EXPECT_NE(answer->status, kGone) << n;
  }
}

}  // namespace
}  // namespace clementineloom::entry
