#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/submission_rate.h"
#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

/// Fixture that replays a load on a small fleet: ten teams submit jobs of tasks of two seconds, and
/// the planner runs each tenth of a second.
class TeamLoadTest : public PlannerTest {
 protected:
  static constexpr int kTeams = 10;
  static constexpr int kWorkers = 10;
  static constexpr std::int64_t kStepMs = 100;
  static constexpr std::int64_t kLengthMs = 30'000;
  // A job of four tasks from each team at this interval uses four fifths of the fleet.
  static constexpr std::int64_t kUsualIntervalMs = 1'200;
  static constexpr std::int64_t kTaskMs = 2'000;
  static constexpr std::int64_t kObjectiveMs = 4'000;

  void SetUp() override {
    for (int n = 0; n < kWorkers; ++n) {
      AddWorker("w" + std::to_string(n), "r1");
    }
  }
  void SetWeights(double weight) {
    teams_.clear();
    for (int n = 0; n < kTeams; ++n) {
      teams_.push_back({TeamName(n), {}, 0, weight, {}});
    }
  }
  // Replays the load. Returns the jobs that ended within their objective, by team.
  std::map<std::string, int> Play(int hot_factor) {
    std::map<std::string, int> in_time;
    for (std::int64_t now_ms = 0; now_ms < kLengthMs; now_ms += kStepMs) {
      SubmitDue(now_ms, hot_factor);
      EndDue(now_ms, in_time);
      Start(now_ms);
      now_ += Milliseconds(kStepMs);
    }
    return in_time;
  }
  // Empties the fleet for another replay.
  void TearDownRuns() {
    running_.clear();
    for (auto& [id, worker] : workers_) {
      worker.runs.clear();
      worker.used = {};
    }
  }
  // The jobs in time of the worst-served team but the first one.
  static int WorstOfOthers(const std::map<std::string, int>& in_time) {
    int worst = 1'000;
    for (int n = 1; n < kTeams; ++n) {
      const auto it = in_time.find(TeamName(n));
      worst = std::min(worst, it == in_time.end() ? 0 : it->second);
    }
    return worst;
  }

 private:
  struct RunEnd {
    std::int64_t at_ms = 0;
    std::string worker;
    TaskRun run;
  };

  static std::string TeamName(int number) { return "team" + std::to_string(number); }

  void SubmitDue(std::int64_t now_ms, int hot_factor) {
    for (int n = 0; n < kTeams; ++n) {
      const std::int64_t interval = n == 0 ? kUsualIntervalMs / hot_factor : kUsualIntervalMs;
      // The teams do not submit at the same time.
      const std::int64_t begin = kStepMs * n;
      const bool is_due =
          now_ms >= begin && (now_ms - begin) / interval != (now_ms - begin - kStepMs) / interval;
      if (is_due || now_ms == begin) {
        StepSpec step = Step(4, 1);
        step.estimate_ms = kTaskMs;
        Submit("job" + std::to_string(100'000 + ++jobs_submitted_), step, 1, now_ms, TeamName(n));
      }
    }
  }
  void EndDue(std::int64_t now_ms, std::map<std::string, int>& in_time) {
    std::erase_if(running_, [&](const RunEnd& it) {
      if (it.at_ms > now_ms) {
        return false;
      }
      workers_[it.worker].Remove(it.run);
      const std::string& job = it.run.task.step.job;
      jobs_.Apply(TaskSet{it.run.task, TaskRecord{TaskPhase::kDone, it.run.run, it.worker, 0, ""}});
      const JobEntry& entry = *jobs_.Find(job);
      if (entry.IsAllDone()) {
        const bool is_in_time = now_ms - entry.submission->accepted_at_ms <= kObjectiveMs;
        in_time[entry.submission->team] += is_in_time ? 1 : 0;
        jobs_.Apply(JobEndSet{job, JobState::kCompleted});
      }
      return true;
    });
  }
  void Start(std::int64_t now_ms) {
    const std::vector<std::string> beyond = JobsBeyondRate(jobs_, teams_);
    PlanRequest request{jobs_, workers_, evacuated_, advice_, claims_, now_, now_ms, teams_};
    request.jobs_beyond_rate = beyond;
    const StartPlan plan = PlanStarts(request);
    ApplyStarts(plan);
    for (const PlannedStart& it : plan.starts) {
      running_.push_back({now_ms + kTaskMs, it.worker, it.run.run});
    }
  }

  int jobs_submitted_ = 0;
  std::vector<RunEnd> running_;
};

// Guards against a team that sends seven times its usual and takes the room of the nine others.
TEST_F(TeamLoadTest,
       Teams_BesideOneThatSendsSevenTimesItsUsual_GetNinetyPercentOfWhatTheyGotAlone) {
  SetWeights(1);
  const int alone = WorstOfOthers(Play(1));
  jobs_.Clear();
  TearDownRuns();
  const int beside = WorstOfOthers(Play(7));
  EXPECT_GE(beside * 10, alone * 9) << beside << " of " << alone;
}

// Guards against a load that shows nothing: without weights the others lose.
TEST_F(TeamLoadTest, Teams_WithoutWeights_LoseTheirRoomToOneThatSendsSevenTimesItsUsual) {
  SetWeights(0);
  const int alone = WorstOfOthers(Play(1));
  jobs_.Clear();
  TearDownRuns();
  const int beside = WorstOfOthers(Play(7));
  EXPECT_LT(beside * 10, alone * 9) << beside << " of " << alone;
}

}  // namespace
}  // namespace clementineloom::workload
