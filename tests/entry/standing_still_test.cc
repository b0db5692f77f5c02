#include <gtest/gtest.h>

#include <string>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kFirst = "00000000000000a1.0.0.0";
constexpr const char* kTaskNearData =
    R"([{"count":1,"cpu":100,"memMb":10,"gpus":1,"estimateMs":20000,"affinity":"r1"}])";
constexpr const char* kWideGangNearData =
    R"([{"count":3,"cpu":100,"memMb":10,"gpus":8,"estimateMs":20000,"affinity":"r1","gang":true}])";
constexpr const char* kGangOnOneRack =
    R"([{"count":2,"cpu":100,"memMb":10,"gpus":8,"estimateMs":20000,"sameRack":true,"gang":true}])";
constexpr int kOk = 200;
constexpr Milliseconds kRunTime{60'000};
constexpr Milliseconds kAMoment{500};
// Time within which a job has to have a task at work while there is room for it twice over and less
// than half of the fleet is in use.
constexpr Milliseconds kLongestWait{3'000};

// Jobs whose tasks could run on most of the fleet, but not on the racks that suit them best.
class StandingStillTest : public ClusterTest {
 protected:
  // Two workers on each rack, from r1 on.
  StandingStillTest() {
    for (std::size_t n = 0; n < cluster_.workers.size(); ++n) {
      cluster_.workers[n]->SetLabels({"a", "r" + std::to_string(1 + n / 2)});
      cluster_.Register(*cluster_.workers[n]);
    }
    cluster_.RunFor(kAMoment);
  }

  void Submit(const std::string& job, const std::string& steps) {
    const auto answer = cluster_.Submit(Owner(cluster_), job, steps, "/bulk/");
    ASSERT_TRUE(answer);
    EXPECT_EQ(answer->status, kOk);
  }
  // Takes accelerators on a rack for the rest of the test.
  void Occupy(const std::string& rack, int tasks, int accelerators) {
    Submit("00000000000000b" + rack.substr(1),
           R"([{"count":)" + std::to_string(tasks) + R"(,"cpu":100,"memMb":10,"gpus":)" +
               std::to_string(accelerators) + R"(,"requirements":")" + rack + R"("}])");
    cluster_.RunFor(kAMoment);
  }
  [[nodiscard]] bool IsRunning(const std::string& task) const {
    return !cluster_.WorkersRunning(task).empty();
  }

  StandInCluster cluster_{2, 12, kRunTime};
};

// Guards against a job that stands still beside an idle fleet for its own estimate, because its
// data is on a rack that is full.
TEST_F(StandingStillTest, Task_WhoseDataRackIsFull_StartsElsewhereWithinTheBound) {
  Occupy("r1", 2, 8);
  Submit(kJob, kTaskNearData);
  cluster_.RunFor(kLongestWait);
  EXPECT_TRUE(IsRunning(kFirst));
}

// Guards against a gang that waits in an empty fleet for a rack that can never hold it.
TEST_F(StandingStillTest, Gang_WiderThanTheRackOfItsData_StartsAtOnce) {
  Submit(kJob, kWideGangNearData);
  cluster_.RunFor(kAMoment);
  EXPECT_TRUE(IsRunning(kFirst));
}

// Guards against a gang that waits for its own estimate for a whole rack while one accelerator is
// taken on each.
TEST_F(StandingStillTest, Gang_ThatFindsNoWholeRack_StartsOnSeveralWithinTheBound) {
  for (const char* rack : {"r1", "r2", "r3", "r4", "r5", "r6"}) {
    Occupy(rack, 1, 1);
  }
  Submit(kJob, kGangOnOneRack);
  cluster_.RunFor(kLongestWait);
  EXPECT_TRUE(IsRunning(kFirst));
}

}  // namespace
}  // namespace clementineloom::entry
