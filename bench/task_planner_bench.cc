// Measures the time of one plan over fully loaded fleets of several sizes with waiting jobs.
// Usage: task_planner_bench [PLANS]

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/task_planner.h"

namespace {

using namespace clementineloom::workload;  // NOLINT(google-build-using-namespace)

constexpr std::uint32_t kSeed = 7;
constexpr int kWorkersPerRack = 12;
constexpr Resources kCapacity{128'000, 262'144, 8};
// One queue for each priority; the urgent queue may preempt the work of the others.
constexpr std::uint32_t kQueues = 3;

std::string JobId(int number) {
  std::string id = std::to_string(number);
  return std::string(16 - id.size(), '0') + id;
}

class Fleet {
 public:
  // Without teams, nothing is counted by team.
  Fleet(int workers, int waiting_jobs, int teams) {
    AddTeams(teams, workers);
    for (int n = 0; n < workers; ++n) {
      AddWorker(n);
    }
    // Enough to fill the fleet; jobs that do not fit stay waiting.
    for (int n = 0; n < workers; ++n) {
      Submit(1 + random_() % (kQueues - 1));
    }
    Start(Plan());
    for (int n = 0; n < waiting_jobs; ++n) {
      Submit(random_() % kQueues);
    }
  }

  [[nodiscard]] StartPlan Plan() const {
    return PlanStarts({jobs_, workers_, evacuated_, advice_, claims_, now_, kUnixNowMs, teams_});
  }

 private:
  static constexpr std::int64_t kUnixNowMs = 1'000'000;

  // Quotas that together exceed the fleet by half, so that some of them are reached.
  void AddTeams(int count, int workers) {
    for (int n = 0; n < count; ++n) {
      const std::int64_t quota = kCapacity.accelerators * workers * 3 / 2 / count + 8;
      teams_.push_back({"team" + std::to_string(n), {}, 0, 2.0 + n % 3, {0, 0, quota}});
    }
  }

  void AddWorker(int number) {
    PoolWorker worker;
    worker.info.id = "i-" + std::to_string(100'000 + number);
    worker.info.service = "inspect";
    worker.info.rack = "r" + std::to_string(number / kWorkersPerRack);
    worker.info.labels = {"a", worker.info.rack};
    worker.info.capacity = kCapacity;
    worker.is_attached = true;
    workers_[worker.info.id] = worker;
  }

  void Submit(std::uint32_t priority) {
    constexpr std::int64_t kSizes[] = {1, 1, 2, 4, 8};
    StepSpec step;
    step.task_count = 2 + random_() % 12;
    step.per_task = {11'000, 29'000, kSizes[random_() % std::size(kSizes)]};
    step.estimate_ms = 5'000;
    step.is_gang = random_() % 2 == 0;
    step.prefers_one_rack = step.is_gang && random_() % 2 == 0;
    JobSubmission submission;
    submission.id = JobId(++jobs_submitted_);
    submission.queue.service = "inspect";
    if (!teams_.empty()) {
      submission.team = teams_[random_() % teams_.size()].name;
    }
    submission.queue.priority = priority;
    submission.accepted_at_ms = kUnixNowMs - 300;
    submission.steps = {step};
    jobs_.Apply(SubmissionSet{submission.id, submission});
  }

  void Start(const StartPlan& plan) {
    for (const PlannedStart& it : plan.starts) {
      PlacedRun run = it.run;
      run.stage = RunStage::kRunning;
      workers_[it.worker].Add(run);
    }
  }

  std::mt19937 random_{kSeed};
  int jobs_submitted_ = 0;
  std::vector<TeamAccess> teams_;
  JobTable jobs_;
  WorkerPool workers_;
  std::set<std::string> evacuated_;
  AdviceCache advice_;
  std::vector<RoomClaim> claims_;
  SteadyTime now_ = SteadyTime() + Milliseconds(1'000'000);
};

void Measure(int workers, int waiting_jobs, int teams, int plans) {
  const Fleet fleet(workers, waiting_jobs, teams);
  std::size_t starts = 0;
  std::size_t preemptions = 0;
  const auto begin = std::chrono::steady_clock::now();
  for (int n = 0; n < plans; ++n) {
    const StartPlan plan = fleet.Plan();
    starts = plan.starts.size();
    preemptions = plan.preemptions.size();
  }
  const std::chrono::duration<double, std::milli> spent = std::chrono::steady_clock::now() - begin;
  std::cout << "workers=" << workers << " waiting_jobs=" << waiting_jobs << " teams=" << teams
            << " starts=" << starts << " preemptions=" << preemptions
            << " ms_per_plan=" << spent.count() / plans << "\n";
}

}  // namespace

int main(int argc, char** argv) {
  const int plans = argc > 1 ? std::atoi(argv[1]) : 20;
  for (const int workers : {48, 350, 1'400}) {
    for (const int waiting_jobs : {0, 20, 200}) {
      for (const int teams : {0, 10, 430}) {
        Measure(workers, waiting_jobs, teams, plans);
      }
    }
  }
  return 0;
}
