#include <gtest/gtest.h>

#include <cstddef>
#include <memory>
#include <string>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kJob = "00000000000000a1";
constexpr const char* kRunningJob = "00000000000000a2";
constexpr const char* kLateJob = "00000000000000a3";
constexpr const char* kJobPath = "/urgent/00000000000000a1";
constexpr const char* kFourTasks = R"([{"count":4,"cpu":1000,"memMb":10,"gpus":1}])";
constexpr int kTasks = 4;
constexpr Milliseconds kRunTime{1'000};
constexpr Milliseconds kLongRunTime{12'000};
// Within this time a job completes once everything is back.
constexpr Milliseconds kCompletion{20'000};
constexpr int kOk = 200;

// An owner that is replaced in the middle of its work, and may not know it yet.
class OwnerSuccessionTest : public ClusterTest {
 protected:
  void Begin(Milliseconds run_time) {
    cluster_ = std::make_unique<StandInCluster>(3, 2, run_time);
    owner_ = Owner(*cluster_);
    front_ = owner_ == 0 ? 1 : 0;
  }

  void Submit(std::size_t instance, const std::string& job) {
    const auto answer = cluster_->Submit(instance, job, kFourTasks);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, kOk);
  }
  int StartsOf(const std::string& job) const {
    int starts = 0;
    for (int n = 0; n < kTasks; ++n) {
      starts += cluster_->StartsOf(job + ".0.0." + std::to_string(n));
    }
    return starts;
  }

  void ExpectSuccessor() {
    const auto successor = cluster_->OwnerIndex();
    ASSERT_TRUE(successor.has_value());
    EXPECT_EQ(cluster_->OwnerCount(), 1);
  }
  void ExpectCompletedAndRunOnce(const std::string& job) {
    EXPECT_TRUE(cluster_->RunUntilState(job, "completed", kCompletion)) << job;
    EXPECT_EQ(StartsOf(job), kTasks) << job;
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
  }

  std::unique_ptr<StandInCluster> cluster_;
  std::size_t owner_ = 0;
  // An instance that does not own the workers.
  std::size_t front_ = 0;
};

// Guards against an owner that wakes after its successor took over and sends the orders that it had
// decided on before: a task would run on two workers, or twice.
TEST_F(OwnerSuccessionTest, Owner_WokenAfterItsSuccessorTookOver_StartsNothing) {
  for (const int append_ms : {0, 100, 900}) {
    for (const int frozen_after_ms : {0, 2, 4, 6, 8, 10, 12, 14, 18, 110, 300}) {
      for (const int frozen_ms : {1'600, 2'500, 5'000, 9'000}) {
        SCOPED_TRACE("append " + std::to_string(append_ms) + " ms, frozen after " +
                     std::to_string(frozen_after_ms) + " ms for " + std::to_string(frozen_ms));
        Begin(kRunTime);
        if (append_ms > 0) {
          cluster_->store.DelayAppendsOf("owner", Milliseconds(append_ms));
        }
        Submit(owner_, kJob);
        cluster_->RunFor(Milliseconds(frozen_after_ms));
        cluster_->port(owner_).Freeze();
        cluster_->RunFor(Milliseconds(50));
        cluster_->store.DelayAppendsOf("owner", Milliseconds(0));
        cluster_->RunFor(Milliseconds(frozen_ms));
        cluster_->port(owner_).Thaw();
        cluster_->RunFor(Milliseconds(4'000));
        ExpectSuccessor();
        ExpectCompletedAndRunOnce(kJob);
        Submit(front_, kLateJob);
        ExpectCompletedAndRunOnce(kLateJob);
      }
    }
  }
}

// Guards against a frozen owner that wakes with stops in its queue, and against its successor
// keeping runs of a job that was cancelled meanwhile.
TEST_F(OwnerSuccessionTest, Owner_FrozenWhileAJobIsCancelled_OnlyThatJobIsStopped) {
  for (const int frozen_after_ms : {0, 2, 4, 6, 50, 99, 101, 104, 110}) {
    for (const int frozen_ms : {1'600, 2'500, 5'000}) {
      SCOPED_TRACE("frozen after " + std::to_string(frozen_after_ms) + " ms for " +
                   std::to_string(frozen_ms));
      Begin(kLongRunTime);
      Submit(owner_, kJob);
      Submit(owner_, kRunningJob);
      cluster_->RunFor(Milliseconds(500));
      ASSERT_EQ(cluster_->Ask(owner_, "DELETE", kJobPath)->status, kOk);
      cluster_->RunFor(Milliseconds(frozen_after_ms));
      cluster_->port(owner_).Freeze();
      cluster_->RunFor(Milliseconds(frozen_ms));
      cluster_->port(owner_).Thaw();
      cluster_->RunFor(Milliseconds(4'000));
      EXPECT_EQ(cluster_->RunningCount(), static_cast<std::size_t>(kTasks));
      ExpectCompletedAndRunOnce(kRunningJob);
      EXPECT_EQ(StartsOf(kJob), kTasks);
    }
  }
}

// Guards against a job that is lost or runs twice because its owner died between its record, the
// record of its starts and their orders.
TEST_F(OwnerSuccessionTest, Owner_KilledBetweenRecordsAndOrders_EachTaskStartsOnce) {
  constexpr int kLastMs = 30;
  for (int killed_after_ms = 0; killed_after_ms <= kLastMs; ++killed_after_ms) {
    for (const bool is_at_owner : {false, true}) {
      SCOPED_TRACE("killed after " + std::to_string(killed_after_ms) + " ms, at owner " +
                   std::to_string(is_at_owner));
      Begin(kRunTime);
      Submit(is_at_owner ? owner_ : front_, kJob);
      cluster_->RunFor(Milliseconds(killed_after_ms));
      cluster_->Kill(owner_);
      ExpectCompletedAndRunOnce(kJob);
    }
  }
}

// Guards against a run whose end is lost because its owner died between the end, its record and the
// acknowledgement to the worker: the task ran again.
TEST_F(OwnerSuccessionTest, Owner_KilledBetweenAnEndAndItsAcknowledgement_TaskDoesNotRunAgain) {
  constexpr int kFirstMs = 995;
  constexpr int kLastMs = 1'045;
  for (int killed_after_ms = kFirstMs; killed_after_ms <= kLastMs; ++killed_after_ms) {
    for (const bool is_restarted : {false, true}) {
      SCOPED_TRACE("killed after " + std::to_string(killed_after_ms) + " ms, restarted " +
                   std::to_string(is_restarted));
      Begin(kRunTime);
      Submit(owner_, kJob);
      cluster_->RunFor(Milliseconds(killed_after_ms));
      cluster_->Kill(owner_);
      if (is_restarted) {
        cluster_->Restart(owner_);
      }
      ExpectCompletedAndRunOnce(kJob);
    }
  }
}

// Guards against the same where the store applies the record of the ends without answering it, or
// applies it only after the successor took over.
TEST_F(OwnerSuccessionTest, Owner_KilledWhileTheRecordOfEndsIsOpen_TaskDoesNotRunAgain) {
  for (const bool is_held : {false, true}) {
    for (const int killed_after_ms : {1'005, 1'015, 1'100, 1'500}) {
      SCOPED_TRACE("killed after " + std::to_string(killed_after_ms) + " ms, held " +
                   std::to_string(is_held));
      Begin(kRunTime);
      Submit(owner_, kJob);
      cluster_->RunFor(Milliseconds(900));
      if (is_held) {
        cluster_->store.HoldAppendsOf("owner", 1);
      } else {
        cluster_->store.LoseAppendAnswers(2);
      }
      cluster_->RunFor(Milliseconds(killed_after_ms - 900));
      cluster_->Kill(owner_);
      cluster_->store.LoseAppendAnswers(0);
      cluster_->RunFor(Milliseconds(2'500));
      cluster_->store.ApplyHeldAppends();
      ExpectCompletedAndRunOnce(kJob);
    }
  }
}

}  // namespace
}  // namespace clementineloom::entry
