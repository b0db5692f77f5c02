#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/decision/cell_placer.h"
#include "scheduler/scheduler_replica.h"
#include "support/cluster_records.h"
#include "support/manual_clock.h"
#include "support/memory_log.h"

namespace clementineloom::scheduler {
namespace {

using std::chrono::milliseconds;
using testing_support::ManualClock;
using testing_support::MemoryLog;

// A new system: the operators have configured it and a job has been submitted, but no worker has
// been registered yet.
class NeverFitsTest : public testing::Test {
 protected:
  NeverFitsTest() {
    ManualClock::Reset();
    for (const RecordBody& it : testing_support::MakeCluster(0)) {
      Add(it);
    }
  }

  void SubmitJobOfWorkers(std::uint16_t workers) { Add(testing_support::Submit("key", workers)); }

  void PublishListOf(int workers) {
    std::vector<platform::Instance> instances;
    for (int n = 0; n < workers; ++n) {
      platform::Instance& it = instances.emplace_back();
      it.name = "w" + std::to_string(n);
      it.address = testing_support::WorkerAddress(n);
      it.data_centre = "dc";
      it.rack = "r0";
      it.accelerators = 8;
      it.slots = 8;
      it.connections = 64;
    }
    replica_.Handle(std::make_shared<const platform::InstanceList>(
        platform::InstanceList{1, std::move(instances)}));
  }

  void RunRounds(int rounds) {
    for (int n = 0; n < rounds; ++n) {
      replica_.Step();
      ManualClock::Advance(milliseconds(300));
    }
    replica_.Read();
  }

  [[nodiscard]] const JobEntry& Job() const {
    const ClusterState& state = replica_.state();
    return *state.FindJob(state.FindJobByKey("key").value());
  }

 private:
  void Add(const RecordBody& body) {
    log_.Add(codec::EncodeRecord(Record{"r" + std::to_string(log_.payloads().size()), body}));
  }

  MemoryLog log_;
  SchedulerReplica<CellPlacer> replica_{log_, "entry-a"};
};

// Guards against refusing a job for ever because the instance list has not been read yet.
TEST_F(NeverFitsTest, Decide_BeforeInstanceListIsRead_KeepsJobWaiting) {
  SubmitJobOfWorkers(2);
  RunRounds(5);
  EXPECT_EQ(Job().phase, JobPhase::kWaiting);
}

// Guards against refusing a job in the same batch that registers the workers it needs.
TEST_F(NeverFitsTest, Decide_WithUnregisteredListedWorkers_PlacesJobOnceTheyAreRegistered) {
  SubmitJobOfWorkers(2);
  PublishListOf(2);
  RunRounds(5);
  EXPECT_EQ(Job().phase, JobPhase::kPlaced);
}

// Guards against a job that waits for ever although all listed workers together are too few for it.
TEST_F(NeverFitsTest, Decide_WithAllListedWorkersRegistered_RefusesJob) {
  SubmitJobOfWorkers(3);
  PublishListOf(2);
  RunRounds(5);
  EXPECT_EQ(Job().phase, JobPhase::kEnded);
  EXPECT_EQ(Job().outcome, JobOutcome::kRefused);
}

}  // namespace
}  // namespace clementineloom::scheduler
