#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kTopic = "keyed.loom";
constexpr const char* kOwnerProducer = "owner";
constexpr const char* kStore = standin::StandInStore::kAddress;
constexpr Milliseconds kRunTime{100};
constexpr Milliseconds kPageDelay{500};
constexpr int kOk = 200;

// A live owner, and another instance whose loads are slow and not a snapshot.
class ClaimDuringLoadTest : public ClusterTest {
 protected:
  ClaimDuringLoadTest() : owner_(Owner(cluster_)), other_(1 - owner_) {
    cluster_.store.CutPages(1, kPageDelay);
    cluster_.store.CutBatches(1);
  }

  // Compacts away the records that the other instance would read next. After a record it
  // pauses longer before its next read than the owner, which has read the last one by then.
  void ForceLoadAtOtherInstance() {
    const std::uint64_t end = cluster_.store.End(kTopic);
    while (cluster_.store.End(kTopic) == end) {
      cluster_.RunFor(Milliseconds(1));
    }
    cluster_.RunFor(Milliseconds(30));
    cluster_.store.Put(kTopic, "c/00000000000000c0", "true");
    cluster_.RunFor(Milliseconds(30));
    cluster_.store.Compact(kTopic);
    cluster_.RunFor(Milliseconds(60));
  }

  // Makes the other instance claim ownership beside the live owner; the store carries out the claim
  // later.
  void HoldClaimOfOtherInstance() {
    cluster_.port(owner_).Cut(kStore);
    cluster_.store.HoldAppendsOf(kOwnerProducer, 1);
    for (int n = 0; n < 3'000 && cluster_.store.held_appends() == 0; ++n) {
      cluster_.RunFor(Milliseconds(1));
    }
    cluster_.port(owner_).Heal(kStore);
    cluster_.RunFor(Milliseconds(1'500));
    ASSERT_EQ(cluster_.OwnerIndex(), owner_);
    ASSERT_EQ(cluster_.OwnerCount(), 1);
  }

  StandInCluster cluster_{2, 1, kRunTime};
  const std::size_t owner_;
  const std::size_t other_;
};

// Guards against a new owner that has not read its predecessor's last records: a page of a load
// held its claim but an earlier page lacked the end of a job, so that the job ran again.
TEST_F(ClaimDuringLoadTest, Claim_InAPageBeforeOlderRecordsAreRead_DoesNotRunEndedTasksAgain) {
  HoldClaimOfOtherInstance();
  ForceLoadAtOtherInstance();
  // By then the load is past the key of the job's end, which sorts before that of the owner.
  cluster_.RunFor(kPageDelay + Milliseconds(50));
  ASSERT_EQ(cluster_.Submit(owner_, kJob, kOneTask)->status, kOk);
  cluster_.RunFor(Milliseconds(400));
  ASSERT_NE(cluster_.Ask(owner_, "GET", std::string("/urgent/") + kJob)->body.find("completed"),
            std::string::npos);
  cluster_.store.ApplyHeldAppends();
  cluster_.RunFor(Milliseconds(6'000));
  EXPECT_EQ(cluster_.OwnerIndex(), other_);
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against a claim beside a live owner, whose heartbeats are not seen during a load.
TEST_F(ClaimDuringLoadTest, Load_LongerThanTheHeartbeatTimeout_ClaimsNothing) {
  ForceLoadAtOtherInstance();
  cluster_.RunFor(Milliseconds(4'000));
  EXPECT_EQ(cluster_.OwnerIndex(), owner_);
  EXPECT_EQ(cluster_.OwnerCount(), 1);
}

}  // namespace
}  // namespace clementineloom::entry
