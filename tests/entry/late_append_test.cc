#include <gtest/gtest.h>

#include <algorithm>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kOtherJob = "00000000000000a2";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kTopic = "keyed.loom";
constexpr const char* kStore = standin::StandInStore::kAddress;
constexpr Milliseconds kRunTime{200};
// Longer than the time after which an instance gives up an append.
constexpr Milliseconds kAppendGivenUp{25'000};
// Longer than the retention of ended jobs.
constexpr Milliseconds kRetentionOver{160'000};
constexpr int kOk = 200;

// An instance that appends records itself, because it does not reach the owner.
class LateAppendTest : public ClusterTest {
 protected:
  LateAppendTest() : owner_(Owner(cluster_)), front_(1 - owner_) {
    cluster_.port(front_).Cut("10.0.2." + std::to_string(owner_) + ":1");
  }

  [[nodiscard]] std::string AppendProducerOf(std::size_t instance) const {
    return "e" + std::to_string(instance) + "-";
  }
  [[nodiscard]] std::ptrdiff_t SubmissionsOf(const std::string& job) {
    const auto& records = cluster_.store.Records(kTopic);
    return std::count_if(records.begin(), records.end(), [&](const workload::KeyedValue& it) {
      return it.key == "s/" + job && !it.value.empty();
    });
  }
  [[nodiscard]] std::ptrdiff_t AnnouncementsOf(std::size_t instance) {
    const auto& records = cluster_.store.Records(kTopic);
    return std::count_if(records.begin(), records.end(), [&](const workload::KeyedValue& it) {
      return it.key == "i/e" + std::to_string(instance);
    });
  }

  StandInCluster cluster_{2, 1, kRunTime};
  const std::size_t owner_;
  const std::size_t front_;
};

// Guards against a submission with an unknown outcome that is still retried after the job was
// submitted elsewhere, ran and was dropped: the job ran again.
TEST_F(LateAppendTest, Submission_WithoutTheStoreUntilTheJobIsDropped_DoesNotRunAgain) {
  cluster_.port(front_).Cut(kStore);
  EXPECT_NE(cluster_.Submit(front_, kJob, kOneTask)->status, kOk);
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(kRetentionOver);
  ASSERT_EQ(cluster_.StartsOf(kTask), 1);
  cluster_.port(front_).Heal(kStore);
  cluster_.RunFor(Milliseconds(5'000));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  EXPECT_EQ(cluster_.Submit(front_, kOtherJob, kOneTask)->status, kOk);
  EXPECT_TRUE(cluster_.RunUntilState(kOtherJob, "completed", Milliseconds(3'000)));
}

// Guards against an append that was given up taking effect after later ones.
TEST_F(LateAppendTest, Append_CarriedOutAfterItWasGivenUp_IsFenced) {
  cluster_.store.HoldAppendsOf(AppendProducerOf(front_), 1'000);
  EXPECT_NE(cluster_.Submit(front_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(kAppendGivenUp);
  cluster_.store.HoldAppendsOf(AppendProducerOf(front_), 0);
  EXPECT_EQ(cluster_.Submit(front_, kOtherJob, kOneTask)->status, kOk);
  ASSERT_GT(cluster_.store.held_appends(), 0U);
  const std::ptrdiff_t before = SubmissionsOf(kJob);
  cluster_.store.ApplyHeldAppends();
  EXPECT_EQ(SubmissionsOf(kJob), before);
}

// Guards against an append that takes effect twice: once through its retry, and again later, when
// the store no longer remembers its sequence number.
TEST_F(LateAppendTest, Append_CarriedOutAfterItsRepeatAndFiveOthers_ChangesNothing) {
  cluster_.store.HoldAppendsOf(AppendProducerOf(front_), 1);
  EXPECT_NE(cluster_.Submit(front_, kJob, kOneTask), std::nullopt);
  cluster_.RunFor(Milliseconds(1'500));
  for (int n = 0; n < 6; ++n) {
    EXPECT_EQ(cluster_.Submit(front_, "00000000000000b" + std::to_string(n), kOneTask)->status,
              kOk);
    cluster_.RunFor(Milliseconds(300));
  }
  const std::uint64_t before = cluster_.store.End(kTopic);
  cluster_.store.ApplyHeldAppends();
  EXPECT_EQ(cluster_.store.End(kTopic), before);
  EXPECT_EQ(cluster_.Submit(front_, kOtherJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(2'000));
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against an instance that stays unknown to its peers because the store refused its
// announcement.
TEST_F(LateAppendTest, Start_WhileTheStoreRefusesAppends_IsAnnouncedOnceItTakesThem) {
  cluster_.store.RefuseAppends(true);
  cluster_.Kill(front_);
  cluster_.Restart(front_);
  cluster_.RunFor(Milliseconds(2'000));
  const std::ptrdiff_t before = AnnouncementsOf(front_);
  cluster_.store.RefuseAppends(false);
  cluster_.RunFor(Milliseconds(2'000));
  EXPECT_EQ(AnnouncementsOf(front_), before + 1);
}

}  // namespace
}  // namespace clementineloom::entry
