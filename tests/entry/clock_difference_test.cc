#include <gtest/gtest.h>

#include <cstddef>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kFirstJob = "00000000000000a1";
constexpr const char* kJob = "00000000000000a2";
constexpr const char* kTask = "00000000000000a2.0.0.0";
// A task that takes a whole worker and whose data is on the first worker's rack.
constexpr const char* kNearData =
    R"([{"count":1,"cpu":8000,"memMb":10,"gpus":8,"affinity":"r1","estimateMs":100}])";
constexpr Milliseconds kRunTime{60'000};
// Longest time for which a job may have nothing running beside idle workers, by the rules.
constexpr Milliseconds kMaxStandstill{3'000};
// Longer than the time until another instance owns the workers.
constexpr Milliseconds kElection{4'000};
constexpr Milliseconds kAhead{20'000};
constexpr int kOk = 200;

// Instances whose clocks of day differ.
class ClockDifferenceTest : public ClusterTest {
 protected:
  ClockDifferenceTest() {
    std::string entry = cluster_.workers[1]->Entry();
    entry.replace(entry.find("\"r1\""), 4, "\"r2\"");
    cluster_.store.Put("keyed.servers", cluster_.workers[1]->id(), entry);
    cluster_.RunFor(Milliseconds(500));
    EXPECT_EQ(cluster_.Submit(0, kFirstJob, kNearData)->status, kOk);
    cluster_.RunFor(Milliseconds(500));
  }

  StandInCluster cluster_{2, 2, kRunTime};
};

// Guards against a job that waits for room near its data for as long as the clock of the owner that
// accepted it was ahead of its successor's.
TEST_F(ClockDifferenceTest, Job_AcceptedByAFormerOwnerThatIsAhead_WaitsNoLongerForItsRack) {
  const std::size_t former = Owner(cluster_);
  cluster_.port(former).SetUnixOffset(kAhead);
  ASSERT_EQ(cluster_.Submit(former, kJob, kNearData, "/bulk/")->status, kOk);
  cluster_.Kill(former);
  cluster_.RunFor(kElection + kMaxStandstill);
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

// Guards against the same where the owner's clock is set back after it has accepted the job.
TEST_F(ClockDifferenceTest, Job_AcceptedBeforeTheClockIsSetBack_WaitsNoLongerForItsRack) {
  const std::size_t owner = Owner(cluster_);
  cluster_.port(owner).SetUnixOffset(kAhead);
  ASSERT_EQ(cluster_.Submit(owner, kJob, kNearData, "/bulk/")->status, kOk);
  cluster_.port(owner).SetUnixOffset(Milliseconds(0));
  cluster_.RunFor(kMaxStandstill);
  EXPECT_EQ(cluster_.StartsOf(kTask), 1);
}

}  // namespace
}  // namespace clementineloom::entry
