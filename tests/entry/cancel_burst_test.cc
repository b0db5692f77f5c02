#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <memory>
#include <optional>
#include <ostream>
#include <string>
#include <tuple>
#include <vector>

#include "entry/cluster_test.h"
#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kTwoTasks = R"([{"count":2,"cpu":100,"memMb":5,"gpus":0}])";
constexpr Milliseconds kRunTime{60'000};
constexpr int kOk = 200;
constexpr int kTasksPerJob = 2;

// How the owner changes halfway through the cancellations.
enum class Change { kNone, kKilled, kFrozen, kStopped };

void PrintTo(Change change, std::ostream* out) {
  constexpr std::array<const char*, 4> kNames{"no change", "killed", "frozen", "stopped"};
  *out << kNames.at(static_cast<std::size_t>(change));
}

// Many jobs that are cancelled within a second while their owner changes. At each millisecond the
// runs of cancelled jobs are checked.
// Parameters: the change, and the target of calls of which the owner loses the answers.
class CancelBurstTest : public ClusterTest,
                        public testing::WithParamInterface<std::tuple<Change, std::string>> {
 protected:
  static constexpr std::size_t kJobs = 100;

  void Begin() {
    jobs_.assign(kJobs, {});
    late_runs_.clear();
    cluster_ = std::make_unique<StandInCluster>(3, 6, kRunTime);
    cluster_->SetCallerTimeout(Milliseconds(5'000));
    owner_ = Owner(*cluster_);
    is_owner_gone_ = false;
    Watch();
  }

  void SubmitAll() {
    for (std::size_t n = 0; n < kJobs; ++n) {
      jobs_[n].exchange = cluster_->Send(n % 3, "POST", PathOf(n),
                                         std::string(R"({"spec":"x","steps":)") + kTwoTasks + "}");
      cluster_->RunFor(Milliseconds(1));
    }
    cluster_->RunFor(Milliseconds(50));
    for (const Job& it : jobs_) {
      const auto answer = cluster_->AnswerTo(it.exchange);
      ASSERT_TRUE(answer.has_value());
      ASSERT_EQ(answer->status, kOk);
    }
  }

  void CancelAllDuring(Change change) {
    constexpr Milliseconds kInterval{10};
    for (std::size_t n = 0; n < kJobs; ++n) {
      if (n == kJobs / 2) {
        ChangeOwner(change);
      }
      Cancel(n);
      cluster_->RunFor(kInterval);
    }
  }
  // Repeats the cancellations that were not acknowledged, as callers do.
  void RepeatUntilAcknowledged() {
    constexpr int kAttempts = 5;
    for (int attempt = 0; attempt < kAttempts; ++attempt) {
      cluster_->RunFor(Milliseconds(5'000));
      for (std::size_t n = 0; n < kJobs; ++n) {
        if (!jobs_[n].acknowledged_at_ms) {
          Cancel(n);
        }
      }
    }
  }
  void ThawOwner() { cluster_->port(owner_).Thaw(); }

  void ExpectAllCancelled() {
    for (std::size_t n = 0; n < kJobs; ++n) {
      EXPECT_TRUE(jobs_[n].acknowledged_at_ms.has_value()) << IdOf(n);
    }
    EXPECT_EQ(cluster_->RunningCount(), 0U);
    EXPECT_TRUE(late_runs_.empty()) << late_runs_.size() << " times, first " << late_runs_.front();
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
  }

  std::unique_ptr<StandInCluster> cluster_;
  std::size_t owner_ = 0;

 private:
  // Time after the acknowledgement of a cancellation from which nothing of the job may run.
  static constexpr std::int64_t kStopBoundMs = 3'200;

  struct Job {
    // Number of the last request for the job.
    std::uint64_t exchange = 0;
    bool is_being_cancelled = false;
    std::optional<std::int64_t> acknowledged_at_ms;
  };

  static std::string IdOf(std::size_t n) {
    constexpr std::size_t kFirstId = 100;
    return "0000000000000" + std::to_string(kFirstId + n);
  }
  static std::string PathOf(std::size_t n) { return "/urgent/" + IdOf(n); }

  void ChangeOwner(Change change) {
    if (change == Change::kKilled) {
      cluster_->Kill(owner_);
    } else if (change == Change::kFrozen) {
      cluster_->port(owner_).Freeze();
    } else if (change == Change::kStopped) {
      cluster_->Stop(owner_);
    }
    is_owner_gone_ = change != Change::kNone;
  }
  void Cancel(std::size_t n) {
    std::size_t instance = n % 3;
    if (is_owner_gone_ && instance == owner_) {
      instance = (owner_ + 1) % 3;
    }
    jobs_[n].is_being_cancelled = true;
    jobs_[n].exchange = cluster_->Send(instance, "DELETE", PathOf(n));
  }

  void Watch() {
    const std::int64_t now_ms = cluster_->world.ElapsedMs();
    const bool has_runs = cluster_->RunningCount() > 0;
    for (std::size_t n = 0; n < kJobs; ++n) {
      Job& job = jobs_[n];
      if (job.is_being_cancelled && !job.acknowledged_at_ms) {
        const auto answer = cluster_->AnswerTo(job.exchange);
        if (answer && answer->status == kOk) {
          job.acknowledged_at_ms = now_ms;
        }
      }
      if (has_runs && job.acknowledged_at_ms && now_ms > *job.acknowledged_at_ms + kStopBoundMs) {
        CheckNothingRuns(n);
      }
    }
    cluster_->world.After(Milliseconds(1), [this] { Watch(); });
  }
  void CheckNothingRuns(std::size_t n) {
    for (int index = 0; index < kTasksPerJob; ++index) {
      const std::string task = IdOf(n) + ".0.0." + std::to_string(index);
      if (!cluster_->WorkersRunning(task).empty()) {
        late_runs_.push_back(task + " at " + std::to_string(cluster_->world.ElapsedMs()) +
                             " ms, acknowledged at " +
                             std::to_string(*jobs_[n].acknowledged_at_ms));
      }
    }
  }

  std::vector<Job> jobs_;
  // Runs of cancelled jobs after the bound.
  std::vector<std::string> late_runs_;
  bool is_owner_gone_ = false;
};

// Guards against a cancelled job that runs on because the owner that had acknowledged it, or was
// still ordering its start, was replaced before it sent the stop.
TEST_P(CancelBurstTest, Jobs_CancelledDuringAChangeOfOwner_StopInTime) {
  const auto& [change, lost] = GetParam();
  for (const int append_ms : {0, 300}) {
    SCOPED_TRACE("owner's appends " + std::to_string(append_ms) + " ms");
    Begin();
    if (append_ms > 0) {
      cluster_->store.DelayAppendsOf("owner", Milliseconds(append_ms));
    }
    cluster_->port(owner_).LoseAnswersOf(lost);
    SubmitAll();
    CancelAllDuring(change);
    if (change == Change::kNone) {
      cluster_->port(owner_).Heal({});
    }
    RepeatUntilAcknowledged();
    if (change == Change::kFrozen) {
      ThawOwner();
      cluster_->RunFor(Milliseconds(5'000));
    }
    ExpectAllCancelled();
  }
}

INSTANTIATE_TEST_SUITE_P(EachChangeAndLoss, CancelBurstTest,
                         testing::Combine(testing::Values(Change::kNone, Change::kKilled,
                                                          Change::kFrozen, Change::kStopped),
                                          testing::Values("/none", "/run-start", "/run-stop",
                                                          "/run-")));

}  // namespace
}  // namespace clementineloom::entry
