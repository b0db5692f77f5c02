#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kTopic = "keyed.loom";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr Milliseconds kRunTime{500};
constexpr int kInstances = 8;
constexpr int kOk = 200;
// One reader gets all of the backlog within the timeout of a read; all readers together do not.
constexpr std::size_t kReadBytesPerMs = 2'000;
constexpr int kBacklogRecords = 40'000;

// Instances that share the bandwidth of a store and have many records to read at once.
class ReadBacklogTest : public ClusterTest {
 protected:
  ReadBacklogTest() {
    cluster_.RunFor(Milliseconds(2'000));
    cluster_.store.CutBatches(kBacklogRecords);
    cluster_.store.LimitReads(kReadBytesPerMs);
  }

  // Adds records that no instance acts on.
  void AddBacklog() {
    constexpr int kFirst = 100'000;
    for (int n = kFirst; n < kFirst + kBacklogRecords; ++n) {
      cluster_.store.Put(kTopic, "c/0000000000" + std::to_string(n), "true");
    }
  }

  StandInCluster cluster_{kInstances, 2, kRunTime};
};

// Guards against instances whose large reads time out again and again, because the store still
// sends the answers that they have given up on: no instance reads any record from then on.
TEST_F(ReadBacklogTest, Submit_AfterABacklogThatAllInstancesRead_RunsTheJob) {
  AddBacklog();
  cluster_.RunFor(Milliseconds(20'000));
  for (std::size_t it = 0; it < kInstances; ++it) {
    const std::string job = "00000000000000b" + std::to_string(it);
    const auto answer = cluster_.Submit(it, job, kOneTask);
    ASSERT_TRUE(answer.has_value()) << it;
    EXPECT_EQ(answer->status, kOk) << it;
    EXPECT_TRUE(cluster_.RunUntilState(job, "completed", Milliseconds(5'000))) << it;
  }
}

}  // namespace
}  // namespace clementineloom::entry
