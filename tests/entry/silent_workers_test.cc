#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using standin::StandInStore;
using workload::Milliseconds;

constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr const char* kOneTask = R"([{"count":1,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr Milliseconds kRunTime{9'000};
// Longer than any lease.
constexpr Milliseconds kCut{6'000};
// Within this time jobs complete once all connections are healed.
constexpr Milliseconds kCompletion{25'000};
constexpr int kOk = 200;
constexpr int kUnavailable = 503;

// Owners that the store confirms but that no worker answers.
class SilentWorkersTest : public ClusterTest {
 protected:
  static constexpr std::size_t kInstances = 3;
  static constexpr std::size_t kWorkers = 4;

  SilentWorkersTest() { Watch(); }

  void CutFromWorkers(std::size_t instance) {
    for (const auto& it : cluster_.workers) {
      cluster_.port(instance).Cut(it->address());
    }
  }
  void HealToWorkers(std::size_t instance) {
    for (const auto& it : cluster_.workers) {
      cluster_.port(instance).Heal(it->address());
    }
  }
  void CutAllFromWorkers() {
    for (std::size_t n = 0; n < kInstances; ++n) {
      CutFromWorkers(n);
    }
  }
  void HealAllToWorkers() {
    for (std::size_t n = 0; n < kInstances; ++n) {
      HealToWorkers(n);
    }
  }

  // Submits a job, which is accepted or, if it is refused, must never start.
  void Submit(std::size_t instance, const char* steps) {
    constexpr std::size_t kFirstId = 100;
    const std::string job =
        "0000000000000" + std::to_string(kFirstId + accepted_.size() + refused_.size());
    const auto answer = cluster_.Submit(instance, job, steps, "/bulk/");
    ASSERT_TRUE(answer.has_value()) << job;
    ASSERT_TRUE(answer->status == kOk || answer->status == kUnavailable) << answer->status;
    (answer->status == kOk ? accepted_ : refused_).push_back(job);
  }
  void SubmitFourTasks() {
    Submit(Owner(cluster_), kFourTasks);
    cluster_.RunFor(Milliseconds(500));
    ASSERT_EQ(cluster_.RunningCount(), 4U);
  }

  // Precondition: everything is healed.
  void ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart() {
    for (const std::string& it : accepted_) {
      EXPECT_TRUE(cluster_.RunUntilState(it, "completed", kCompletion)) << it;
    }
    for (const std::string& it : refused_) {
      EXPECT_EQ(cluster_.StartsOf(it + ".0.0.0"), 0) << it;
    }
    EXPECT_TRUE(cluster_.tasks_on_two_workers.empty());
    EXPECT_EQ(cluster_.OwnerCount(), 1);
  }
  // Number of starts of the first job's four tasks.
  int StartsOfFirstJob() const {
    int starts = 0;
    for (int n = 0; n < 4; ++n) {
      starts += cluster_.StartsOf(accepted_.front() + ".0.0." + std::to_string(n));
    }
    return starts;
  }

  StandInCluster cluster_{static_cast<int>(kInstances), static_cast<int>(kWorkers), kRunTime};
  std::vector<std::string> accepted_;
  std::vector<std::string> refused_;
  // Times at which an instance became the owner, and the longest span without one.
  int takeovers_ = 0;
  std::int64_t longest_gap_ms_ = 0;

 private:
  void Watch() {
    const std::int64_t now_ms = cluster_.world.ElapsedMs();
    const std::optional<std::size_t> owner = cluster_.OwnerIndex();
    takeovers_ += owner && owner != owner_ ? 1 : 0;
    owner_ = owner;
    last_owned_at_ms_ = owner ? now_ms : last_owned_at_ms_;
    longest_gap_ms_ = std::max(longest_gap_ms_, now_ms - last_owned_at_ms_);
    cluster_.world.After(Milliseconds(1), [this] { Watch(); });
  }

  std::optional<std::size_t> owner_;
  std::int64_t last_owned_at_ms_ = cluster_.world.ElapsedMs();
};

// Guards against runs that end with their leases because an owner that reaches no worker keeps the
// ownership, and against answers to callers that do not hold.
TEST_F(SilentWorkersTest, Owner_CutOffFromAllWorkers_HandsOverBeforeALeaseEnds) {
  SubmitFourTasks();
  const std::size_t former = Owner(cluster_);
  takeovers_ = 0;
  CutFromWorkers(former);
  const std::int64_t end_ms = cluster_.world.ElapsedMs() + kCut.count();
  for (std::size_t n = 0; cluster_.world.ElapsedMs() < end_ms; ++n) {
    Submit(n % kInstances, kOneTask);
    cluster_.RunFor(Milliseconds(400));
  }
  EXPECT_NE(Owner(cluster_), former);
  EXPECT_EQ(takeovers_, 1);
  HealToWorkers(former);
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
  EXPECT_EQ(StartsOfFirstJob(), 4);
  EXPECT_TRUE(refused_.empty());
}

// Guards against a successor that keeps the ownership when it is cut off in turn.
TEST_F(SilentWorkersTest, Owners_CutOffOneAfterTheOther_HandOverBeforeALeaseEnds) {
  SubmitFourTasks();
  for (int n = 0; n < 2; ++n) {
    const std::size_t former = Owner(cluster_);
    CutFromWorkers(former);
    cluster_.RunFor(Milliseconds(4'000));
    EXPECT_NE(Owner(cluster_), former);
  }
  HealAllToWorkers();
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
  EXPECT_EQ(StartsOfFirstJob(), 4);
}

// Guards against an owner that gives up although only the one worker that it has reason to call is
// gone.
TEST_F(SilentWorkersTest, Owner_WhoseOnlyBusyWorkerIsGone_KeepsTheOwnership) {
  Submit(Owner(cluster_), kOneTask);
  cluster_.RunFor(Milliseconds(500));
  const auto busy = cluster_.WorkersRunning(accepted_.front() + ".0.0.0");
  ASSERT_EQ(busy.size(), 1U);
  takeovers_ = 0;
  cluster_.world.StopServing(cluster_.workers[busy[0]]->address());
  cluster_.workers[busy[0]]->Restart();
  cluster_.RunFor(Milliseconds(30'000));
  EXPECT_EQ(takeovers_, 0);
  EXPECT_TRUE(cluster_.RunUntilState(accepted_.front(), "completed", kCompletion));
}

// Guards against ownership that changes hands all the time while no instance reaches a worker, and
// against work that does not go on afterwards.
TEST_F(SilentWorkersTest, Owner_WhileNoInstanceReachesAWorker_ChangesAtMostThreeTimesAMinute) {
  constexpr int kMaxTakeoversAMinute = 3;
  constexpr std::int64_t kLongestGapMs = 2'500;
  SubmitFourTasks();
  takeovers_ = 0;
  longest_gap_ms_ = 0;
  CutAllFromWorkers();
  for (int minute = 0; minute < 3; ++minute) {
    cluster_.RunFor(Milliseconds(60'000));
    EXPECT_LE(takeovers_, kMaxTakeoversAMinute);
    takeovers_ = 0;
  }
  EXPECT_LE(longest_gap_ms_, kLongestGapMs);
  HealAllToWorkers();
  cluster_.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster_.RunningCount(), 4U);
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
}

// Guards against the same where all workers are dark and then return without their runs.
TEST_F(SilentWorkersTest, Owner_WhileAllWorkersAreDark_ChangesAtMostThreeTimesAMinute) {
  constexpr int kMaxTakeoversAMinute = 3;
  SubmitFourTasks();
  takeovers_ = 0;
  std::vector<standin::SimWorld::Server> servers;
  for (const auto& it : cluster_.workers) {
    servers.push_back(*cluster_.world.Find(it->address()));
    cluster_.world.StopServing(it->address());
    it->Restart();
  }
  cluster_.RunFor(Milliseconds(60'000));
  EXPECT_LE(takeovers_, kMaxTakeoversAMinute);
  for (std::size_t n = 0; n < kWorkers; ++n) {
    cluster_.workers[n]->Restart();
    cluster_.world.Serve(cluster_.workers[n]->address(), servers[n]);
    cluster_.Register(*cluster_.workers[n]);
  }
  cluster_.RunFor(Milliseconds(3'000));
  EXPECT_EQ(cluster_.RunningCount(), 4U);
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
}

// Guards against a successor that keeps the ownership for ever although it never reached a worker
// and a peer does.
TEST_F(SilentWorkersTest, Successor_ThatReachesNoWorkerEither_HandsOverLater) {
  SubmitFourTasks();
  const std::size_t reaching = (Owner(cluster_) + 1) % kInstances;
  for (std::size_t n = 0; n < kInstances; ++n) {
    if (n != reaching) {
      CutFromWorkers(n);
    }
  }
  cluster_.RunFor(Milliseconds(60'000));
  EXPECT_EQ(Owner(cluster_), reaching);
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
}

// Guards against workers that stay without an owner because the only instance handed over to
// nobody: the peers are dead.
TEST_F(SilentWorkersTest, Owner_CutOffWhilePeersAreDead_ClaimsAgain) {
  constexpr std::int64_t kLongestGapMs = 2'500;
  SubmitFourTasks();
  const std::size_t owner = Owner(cluster_);
  for (std::size_t n = 0; n < kInstances; ++n) {
    if (n != owner) {
      cluster_.Kill(n);
    }
  }
  longest_gap_ms_ = 0;
  CutFromWorkers(owner);
  cluster_.RunFor(kCut);
  EXPECT_EQ(Owner(cluster_), owner);
  EXPECT_LE(longest_gap_ms_, kLongestGapMs);
  HealToWorkers(owner);
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
}

// Guards against the same where the peers do not reach the store.
TEST_F(SilentWorkersTest, Owner_CutOffWhilePeersAreCutOffFromTheStore_ClaimsAgain) {
  SubmitFourTasks();
  const std::size_t owner = Owner(cluster_);
  for (std::size_t n = 0; n < kInstances; ++n) {
    if (n != owner) {
      cluster_.port(n).Cut(StandInStore::kAddress);
    }
  }
  CutFromWorkers(owner);
  cluster_.RunFor(kCut);
  EXPECT_EQ(Owner(cluster_), owner);
  HealToWorkers(owner);
  for (std::size_t n = 0; n < kInstances; ++n) {
    cluster_.port(n).Heal(StandInStore::kAddress);
  }
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
}

// Guards against a time without an owner where there is only one instance.
TEST_F(SilentWorkersTest, OnlyInstance_CutOffFromAllWorkers_KeepsTheOwnership) {
  StandInCluster cluster(1, 2, kRunTime);
  ASSERT_EQ(cluster.Submit(0, "00000000000000a1", kOneTask)->status, kOk);
  cluster.RunFor(Milliseconds(500));
  for (const auto& it : cluster.workers) {
    cluster.port(0).Cut(it->address());
  }
  for (int n = 0; n < 6'000; ++n) {
    cluster.RunFor(Milliseconds(10));
    ASSERT_TRUE(cluster.IsOwner(0)) << n;
  }
}

// Guards against a successor that comes too late for the leases where the store takes a while for
// each append.
TEST_F(SilentWorkersTest, Owner_CutOffWhileTheStoreIsSlow_HandsOverBeforeALeaseEnds) {
  SubmitFourTasks();
  cluster_.store.DelayAppendsOf("owner", Milliseconds(300));
  cluster_.RunFor(Milliseconds(1'000));
  const std::size_t former = Owner(cluster_);
  CutFromWorkers(former);
  cluster_.RunFor(kCut);
  EXPECT_NE(Owner(cluster_), former);
  HealToWorkers(former);
  ExpectAcceptedJobsCompleteAndRefusedOnesDoNotStart();
  EXPECT_EQ(StartsOfFirstJob(), 4);
}

}  // namespace
}  // namespace clementineloom::entry
