#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <optional>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kTask = "00000000000000a1.0.0.0";
constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":2}])";
constexpr Milliseconds kRunTime{20'000};
constexpr int kOk = 200;

// The store is away for longer than the workers' entries last. When it is back, the entries have
// lapsed until each worker has registered again.
class EntryLapseTest : public ClusterTest {
 protected:
  void Begin(const std::string& steps) {
    cluster_ = std::make_unique<StandInCluster>(3, 3, kRunTime);
    const auto answer = cluster_->Submit(0, kJob, steps);
    ASSERT_TRUE(answer.has_value());
    ASSERT_EQ(answer->status, kOk);
    cluster_->RunFor(Milliseconds(1'000));
  }
  // Until the store is back with lapsed entries.
  void LapseDuringOutage(Milliseconds outage) {
    cluster_->store.Refuse(true);
    cluster_->RunFor(outage);
    for (const auto& it : cluster_->workers) {
      cluster_->Unregister(*it);
    }
    cluster_->store.Refuse(false);
  }
  // How ownership changes when the store is back.
  enum class Change { kNone, kOwnerKilled, kAllRestarted };
  void ChangeOwner(Change change) {
    if (change == Change::kOwnerKilled) {
      cluster_->Kill(Owner(*cluster_));
    } else if (change == Change::kAllRestarted) {
      for (std::size_t n = 0; n < 3; ++n) {
        cluster_->Kill(n);
        cluster_->Restart(n);
      }
    }
  }

  std::unique_ptr<StandInCluster> cluster_;
};

// Guards against runs that are started elsewhere, or stopped, although their workers only lost
// their entries with the store and register again within 2 s of its return.
TEST_F(EntryLapseTest, Workers_RegisteredAgainAfterAnOutage_KeepTheirRuns) {
  for (const int outage_ms : {3'000, 6'000, 9'000}) {
    for (const int back_after_ms : {0, 300, 1'000, 2'000}) {
      for (const Change change : {Change::kNone, Change::kOwnerKilled, Change::kAllRestarted}) {
        SCOPED_TRACE("outage " + std::to_string(outage_ms) + " ms, back after " +
                     std::to_string(back_after_ms) + " ms, change " +
                     std::to_string(static_cast<int>(change)));
        Begin(kFourTasks);
        LapseDuringOutage(Milliseconds(outage_ms));
        // A new owner needs the time of an election before it can renew leases.
        ChangeOwner(change);
        cluster_->RunFor(Milliseconds(back_after_ms));
        for (const auto& it : cluster_->workers) {
          cluster_->Register(*it);
        }
        EXPECT_TRUE(cluster_->RunUntilState(kJob, "completed", Milliseconds(30'000)));
        for (int n = 0; n < 4; ++n) {
          EXPECT_EQ(cluster_->StartsOf(std::string(kJob) + ".0.0." + std::to_string(n)), 1) << n;
        }
        EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
      }
    }
  }
}

// Guards against a worker that is waited for although it stays away: its task never runs elsewhere,
// or it does before the lease is over.
TEST_F(EntryLapseTest, Worker_AwayAfterAnOutage_ItsTaskRunsElsewhereAfterTheLease) {
  // The longest lease, and what a new owner adds for its predecessor and for slow clocks.
  constexpr Milliseconds kLeasesOver{17'000};
  for (const Change change : {Change::kNone, Change::kOwnerKilled, Change::kAllRestarted}) {
    SCOPED_TRACE(static_cast<int>(change));
    Begin(kOneTask);
    const auto before = cluster_->WorkersRunning(kTask);
    ASSERT_EQ(before.size(), 1U);
    LapseDuringOutage(Milliseconds(4'000));
    cluster_->world.StopServing(cluster_->workers[before[0]]->address());
    ChangeOwner(change);
    cluster_->RunFor(Milliseconds(1'000));
    for (std::size_t n = 0; n < cluster_->workers.size(); ++n) {
      if (n != before[0]) {
        cluster_->Register(*cluster_->workers[n]);
      }
    }
    cluster_->RunFor(kLeasesOver);
    const auto after = cluster_->WorkersRunning(kTask);
    ASSERT_EQ(after.size(), 1U);
    EXPECT_NE(after[0], before[0]);
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
  }
}

}  // namespace
}  // namespace clementineloom::entry
