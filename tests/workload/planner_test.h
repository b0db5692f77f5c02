#pragma once

#include <gtest/gtest.h>

#include <cstdint>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/task_planner.h"

namespace clementineloom::workload {

/// @brief Fixture with a fleet of small workers and the jobs to plan.
class PlannerTest : public testing::Test {
 protected:
  static constexpr Resources kCapacity{8'000, 1'000, 8};

  void AddWorker(const std::string& id, const std::string& rack, const std::string& kind = "a") {
    PoolWorker worker;
    worker.info.id = id;
    worker.info.service = "inspect";
    worker.info.rack = rack;
    worker.info.data_centre = "dc-" + rack;
    worker.info.labels = {kind, rack};
    worker.info.capacity = kCapacity;
    worker.is_attached = true;
    workers_[id] = worker;
  }
  static StepSpec Step(std::uint32_t tasks, std::int64_t accelerators) {
    StepSpec step;
    step.task_count = tasks;
    step.per_task = {100, 10, accelerators};
    return step;
  }
  void Submit(const std::string& id, StepSpec step, std::uint32_t priority = 1,
              std::int64_t accepted_at_ms = 0, const std::string& team = {}) {
    JobSubmission submission;
    submission.id = id;
    submission.team = team;
    submission.queue.service = "inspect";
    submission.queue.priority = priority;
    submission.accepted_at_ms = accepted_at_ms;
    submission.steps = {std::move(step)};
    jobs_.Apply(SubmissionSet{id, submission});
  }
  // Submits an urgent job of one step whose objective is a multiple of its estimate.
  void SubmitUrgentWithObjective(const std::string& id, StepSpec step, double stretch,
                                 std::int64_t accepted_at_ms) {
    JobSubmission submission;
    submission.id = id;
    submission.queue.service = "inspect";
    submission.queue.priority = kPreemptingPriority;
    submission.queue.stretch = stretch;
    submission.accepted_at_ms = accepted_at_ms;
    submission.steps = {std::move(step)};
    jobs_.Apply(SubmissionSet{id, submission});
  }
  StartPlan Plan(std::int64_t unix_now_ms = 100'000) {
    return PlanStarts({jobs_, workers_, evacuated_, advice_, claims_, now_, unix_now_ms, teams_});
  }
  // Puts the starts of a plan on their workers.
  void ApplyStarts(const StartPlan& plan) {
    for (const PlannedStart& it : plan.starts) {
      PlacedRun run = it.run;
      run.stage = RunStage::kRunning;
      workers_[it.worker].Add(run);
    }
  }
  // Marks the runs that a plan stops as stopping.
  void BeginStops(const StartPlan& plan) {
    for (const Preemption& it : plan.preemptions) {
      workers_[it.worker].runs.at(it.run).stage = RunStage::kStopping;
    }
  }

  JobTable jobs_;
  WorkerPool workers_;
  std::set<std::string> evacuated_;
  AdviceCache advice_;
  std::vector<RoomClaim> claims_;
  std::vector<TeamAccess> teams_;
  SteadyTime now_ = SteadyTime() + Milliseconds(1'000'000);
};

}  // namespace clementineloom::workload
