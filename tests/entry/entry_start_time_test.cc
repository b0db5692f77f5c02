#include <gtest/gtest.h>

#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <cstdint>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInWorker;
using workload::Milliseconds;

constexpr const char* kWorkerTopic = "keyed.servers";
constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{60'000};
constexpr int kOk = 200;

// An entry that names a start time other than that of its worker.
class EntryStartTimeTest : public ClusterTest {
 protected:
  EntryStartTimeTest() {
    cluster_.Unregister(other_);
    cluster_.RunFor(Milliseconds(1'000));
    EXPECT_EQ(cluster_.Submit(0, kJob, kOneTask)->status, kOk);
    cluster_.RunFor(Milliseconds(3'000));
    EXPECT_EQ(cluster_.StartsOf(kTask), 1);
  }

  // Replaces the worker's entry by one that names a start later by a span.
  void PutStartTime(const StandInWorker& worker, std::int64_t later_by_ms,
                    const std::string& state = "ready") {
    namespace json = boost::json;
    json::object entry = json::parse(worker.Entry(state, kRunTime.count())).as_object();
    entry["born"] = entry.at("born").as_int64() + later_by_ms;
    cluster_.store.Put(kWorkerTopic, worker.id(), json::serialize(entry));
  }

  StandInCluster cluster_{2, 2, kRunTime};
  StandInWorker& worker_ = *cluster_.workers[0];
  StandInWorker& other_ = *cluster_.workers[1];
};

// Guards against two runs of one task: the entry alone ended the run, and the task started
// elsewhere while its worker still had it. The worker drains, so that the task is moved: it may
// start again once its run has been stopped.
TEST_F(EntryStartTimeTest, Entry_WithAStartTimeThatItsWorkerDoesNotConfirm_EndsNoRun) {
  for (const std::int64_t later_by_ms : {1, 3'000, 60'000}) {
    SCOPED_TRACE("later by " + std::to_string(later_by_ms) + " ms");
    cluster_.Register(other_);
    PutStartTime(worker_, later_by_ms, "draining");
    cluster_.RunFor(Milliseconds(4'000));
    EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
    EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
  }
}

// Guards against a restart that is noticed late because the entry does not count.
TEST_F(EntryStartTimeTest, Entry_WithAStartTimeThatItsWorkerConfirms_EndsItsRuns) {
  cluster_.Register(other_);
  worker_.Restart();
  cluster_.Register(worker_);
  cluster_.RunFor(Milliseconds(300));
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

// Guards against runs that are never given up because the restarted worker answers nobody.
TEST_F(EntryStartTimeTest, Entry_OfARestartedWorkerThatDoesNotAnswer_EndsItsRunsAfterTheLease) {
  constexpr Milliseconds kLongestLease{10'500};
  cluster_.Register(other_);
  for (std::size_t instance : {0U, 1U}) {
    cluster_.port(instance).Cut(worker_.address());
  }
  worker_.Restart();
  cluster_.Register(worker_);
  cluster_.RunFor(kLongestLease + Milliseconds(1'500));
  EXPECT_EQ(cluster_.WorkersRunning(kTask).size(), 1U);
}

}  // namespace
}  // namespace clementineloom::entry
