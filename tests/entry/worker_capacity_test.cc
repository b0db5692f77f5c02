#include <gtest/gtest.h>

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
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

constexpr Milliseconds kRunTime{1'500};
constexpr int kOk = 200;

// How the owner changes.
enum class Change { kKilled, kFrozen, kStopped };

void PrintTo(Change change, std::ostream* out) {
  constexpr std::array<const char*, 3> kNames{"killed", "frozen", "stopped"};
  *out << kNames.at(static_cast<std::size_t>(change));
}

// Two workers that are full while their owner changes. At each millisecond the needs of all runs of
// a worker are added up, including those of runs that are being stopped.
// Parameters: the change, and the target of calls of which the owner loses the answers.
class WorkerCapacityTest : public ClusterTest,
                           public testing::WithParamInterface<std::tuple<Change, std::string>> {
 protected:
  struct Need {
    std::int64_t cpu_millicores = 0;
    std::int64_t memory_mb = 0;
    std::int64_t accelerators = 0;
  };

  void Begin() {
    needs_.clear();
    jobs_.clear();
    overfull_.clear();
    cluster_ = std::make_unique<StandInCluster>(3, 2, kRunTime);
    Watch();
  }

  void Submit(std::size_t instance, const std::string& queue, int count, const Need& need) {
    constexpr std::size_t kFirstId = 10;
    const std::string job = "00000000000000" + std::to_string(kFirstId + jobs_.size());
    jobs_.push_back(job);
    needs_[job] = need;
    const std::string steps = R"([{"count":)" + std::to_string(count) + R"(,"cpu":)" +
                              std::to_string(need.cpu_millicores) + R"(,"memMb":)" +
                              std::to_string(need.memory_mb) + R"(,"gpus":)" +
                              std::to_string(need.accelerators) + "}]";
    const auto answer = cluster_->Submit(instance, job, steps, queue);
    ASSERT_TRUE(answer.has_value());
    EXPECT_EQ(answer->status, kOk);
  }

  void FillWithBulkWork() {
    constexpr int kTasks = 16;
    Submit(Owner(*cluster_), "/bulk/", kTasks, {1'000, 100, 1});
    cluster_->RunFor(Milliseconds(500));
    ASSERT_EQ(cluster_->RunningCount(), static_cast<std::size_t>(kTasks));
  }
  // Urgent jobs, each limited by another resource, for which bulk runs are stopped.
  void SubmitUrgentWork() {
    const std::size_t owner = Owner(*cluster_);
    Submit(owner, "/urgent/", 1, {500, 10, 4});
    Submit(owner, "/urgent/", 2, {4'000, 10, 0});
    Submit(owner, "/urgent/", 2, {100, 400, 1});
  }

  void ChangeOwner(Change change) {
    const std::size_t owner = Owner(*cluster_);
    if (change == Change::kKilled) {
      cluster_->Kill(owner);
    } else if (change == Change::kFrozen) {
      cluster_->port(owner).Freeze();
    } else {
      cluster_->Stop(owner);
    }
    cluster_->RunFor(Milliseconds(2'500));
    const std::size_t front = owner == 0 ? 1 : 0;
    Submit(front, "/bulk/", 4, {2'000, 250, 2});
    Submit(front, "/urgent/", 2, {1'000, 10, 3});
    cluster_->RunFor(Milliseconds(1'500));
    if (change == Change::kKilled) {
      cluster_->Restart(owner);
    } else if (change == Change::kFrozen) {
      cluster_->port(owner).Thaw();
    }
    cluster_->port(owner).Heal({});
  }

  void ExpectAllCompleteWithinCapacity() {
    for (const std::string& it : jobs_) {
      EXPECT_TRUE(cluster_->RunUntilState(it, "completed", Milliseconds(30'000))) << it;
    }
    EXPECT_TRUE(overfull_.empty()) << overfull_.size() << " times, first " << overfull_.front();
    EXPECT_TRUE(cluster_->tasks_on_two_workers.empty());
  }

  std::unique_ptr<StandInCluster> cluster_;

 private:
  static constexpr std::size_t kJobIdLength = 16;
  // The capacity that each worker registers.
  static constexpr Need kCapacity{8'000, 1'000, 8};

  void Watch() {
    for (const auto& worker : cluster_->workers) {
      Need sum;
      std::string runs;
      for (const auto& [task, run] : worker->running()) {
        const Need& need = needs_.at(task.substr(0, kJobIdLength));
        sum.cpu_millicores += need.cpu_millicores;
        sum.memory_mb += need.memory_mb;
        sum.accelerators += need.accelerators;
        runs += " " + task;
      }
      if (sum.cpu_millicores > kCapacity.cpu_millicores || sum.memory_mb > kCapacity.memory_mb ||
          sum.accelerators > kCapacity.accelerators) {
        overfull_.push_back(std::to_string(cluster_->world.ElapsedMs()) + " ms " + worker->id() +
                            runs);
      }
    }
    cluster_->world.After(Milliseconds(1), [this] { Watch(); });
  }

  std::map<std::string, Need> needs_;
  std::vector<std::string> jobs_;
  // Times at which a worker held more than its capacity, with its runs.
  std::vector<std::string> overfull_;
};

// Guards against a worker that is given more than its capacity: a new owner counts neither the
// starts of its predecessor whose outcome is not known nor the runs that are still being stopped.
TEST_P(WorkerCapacityTest, Owner_ChangedWhileRunsAreStoppedAndStartsUnknown_NoWorkerIsOverfull) {
  const auto& [change, lost] = GetParam();
  for (const int after_ms : {0, 3, 6, 9, 12, 20, 60, 110, 130, 400, 900}) {
    SCOPED_TRACE("after " + std::to_string(after_ms) + " ms");
    Begin();
    FillWithBulkWork();
    cluster_->port(Owner(*cluster_)).LoseAnswersOf(lost);
    SubmitUrgentWork();
    cluster_->RunFor(Milliseconds(after_ms));
    ASSERT_FALSE(HasFatalFailure());
    ChangeOwner(change);
    ExpectAllCompleteWithinCapacity();
  }
}

INSTANTIATE_TEST_SUITE_P(
    EachChangeAndLoss, WorkerCapacityTest,
    testing::Combine(testing::Values(Change::kKilled, Change::kFrozen, Change::kStopped),
                     testing::Values("/none", "/run-start", "/run-stop", "/run-", "/hold")));

}  // namespace
}  // namespace clementineloom::entry
