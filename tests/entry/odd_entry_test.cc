#include <gtest/gtest.h>

#include <string>

#include "entry/cluster_test.h"
#include "support/invalid_worker_entries.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using testing_support::InvalidWorkerEntries;
using testing_support::InvalidWorkerEntry;
using testing_support::WorkerEntryWith;
using workload::Milliseconds;

constexpr const char* kWorkerTopic = "keyed.servers";
constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kLaterJob = "00000000000000a2";
constexpr const char* kLaterTask = "00000000000000a2.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kLongRunTime{9'000};
constexpr int kOk = 200;

class OddEntryTest : public ClusterTest {
 protected:
  // Puts an entry under a key of its own and expects that jobs still complete at all instances.
  static void ExpectJobsComplete(const std::string& key, const InvalidWorkerEntry& entry) {
    SCOPED_TRACE(entry.what);
    StandInCluster cluster(2, 2, kRunTime);
    cluster.store.Put(kWorkerTopic, key, entry.value);
    cluster.RunFor(Milliseconds(500));
    EXPECT_EQ(cluster.Submit(0, kJob, kFourTasks)->status, kOk);
    EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(4'000)));
    EXPECT_EQ(cluster.StartsOf(kTask), 1);
    // Both load the whole topic again.
    for (const std::size_t instance : {0U, 1U}) {
      cluster.Kill(instance);
      cluster.Restart(instance);
    }
    cluster.RunFor(Milliseconds(4'000));
    // Workers that register later are still noticed.
    cluster.Unregister(*cluster.workers[0]);
    cluster.RunFor(Milliseconds(500));
    cluster.Register(*cluster.workers[0]);
    cluster.Unregister(*cluster.workers[1]);
    cluster.RunFor(Milliseconds(500));
    EXPECT_EQ(cluster.Submit(1, kLaterJob, kOneTask)->status, kOk);
    cluster.RunFor(Milliseconds(500));
    EXPECT_EQ(cluster.WorkersRunning(kLaterTask), std::vector<std::size_t>{0});
  }
};

// Guards against instances that crash or stop following the workers because of one odd entry.
TEST_F(OddEntryTest, Entry_ThatIsOdd_BesideTheWorkers_JobsComplete) {
  for (const InvalidWorkerEntry& it : InvalidWorkerEntries()) {
    ExpectJobsComplete("odd", it);
  }
}

// Guards against ending runs because another writer replaced the entry of their worker, which is
// still alive, by an odd one.
TEST_F(OddEntryTest, Entry_ThatIsOdd_UnderAWorkersId_ItsRunsGoOn) {
  for (const InvalidWorkerEntry& it : InvalidWorkerEntries()) {
    SCOPED_TRACE(it.what);
    StandInCluster cluster(2, 1, kLongRunTime);
    EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
    cluster.RunFor(Milliseconds(500));
    cluster.store.Put(kWorkerTopic, cluster.workers[0]->id(), it.value);
    EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(11'000)));
    EXPECT_EQ(cluster.StartsOf(kTask), 1);
    cluster.Register(*cluster.workers[0]);
    EXPECT_EQ(cluster.Submit(1, kLaterJob, kOneTask)->status, kOk);
    cluster.RunFor(Milliseconds(500));
    EXPECT_EQ(cluster.StartsOf(kLaterTask), 1);
  }
}

// Guards against worker ids that break the request, header or record that contains them.
TEST_F(OddEntryTest, Entry_UnderAnOddKey_BesideTheWorkers_JobsComplete) {
  const std::string entry = WorkerEntryWith("version", R"("v1")");
  for (const char* key : {"w 1", "w\r\nX-Y: z", "\xff\xfe", "a&topic=keyed.op", "#", "%41"}) {
    ExpectJobsComplete(key, {testing::PrintToString(key), entry});
  }
}

// Guards against an entry with the address of another worker counting that worker's capacity twice.
TEST_F(OddEntryTest, Entry_WithTheAddressOfAWorker_GetsNoRuns) {
  ExpectJobsComplete("odd", {"address of a worker", WorkerEntryWith("version", R"("v1")")});
}

// Guards against a load of several pages that fails to continue after an odd key.
TEST_F(OddEntryTest, Entry_UnderAnOddKeyAtTheEndOfAPage_TheNextPageIsRead) {
  constexpr int kEntriesOfAPage = 500;
  StandInCluster cluster(1, 1, kRunTime);
  for (int n = 0; n < kEntriesOfAPage - 1; ++n) {
    cluster.store.Put(kWorkerTopic, "a" + std::to_string(n), "{}");
  }
  cluster.store.Put(kWorkerTopic, "b 1&from=0#\xc3\xa4", "{}");
  cluster.Kill(0);
  cluster.Restart(0);
  cluster.RunFor(Milliseconds(4'000));
  EXPECT_EQ(cluster.Submit(0, kJob, kOneTask)->status, kOk);
  EXPECT_TRUE(cluster.RunUntilState(kJob, "completed", Milliseconds(4'000)));
}

}  // namespace
}  // namespace clementineloom::entry
