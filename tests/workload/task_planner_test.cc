#include <gtest/gtest.h>

#include <string>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class TaskPlannerTest : public PlannerTest {};

// Guards against assigning the same room twice in one plan.
TEST_F(TaskPlannerTest, Tasks_MoreThanFit_StayWithinCapacity) {
  AddWorker("w1", "r1");
  Submit("job", Step(20, 1));
  EXPECT_EQ(Plan().starts.size(), 8U);
}

// Guards against large tasks that find no free worker because small tasks were spread over all of
// them.
TEST_F(TaskPlannerTest, Tasks_OfAFewAccelerators_ArePackedOnOneWorker) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  Submit("small", Step(4, 1));
  ApplyStarts(Plan());
  Submit("large", Step(1, 8));
  EXPECT_EQ(Plan().starts.size(), 1U);
}

// Guards against a partly placed gang that holds room while it waits.
TEST_F(TaskPlannerTest, Gang_ThatDoesNotFitWhole_StartsNothing) {
  AddWorker("w1", "r1");
  StepSpec gang = Step(3, 4);
  gang.is_gang = true;
  Submit("gang", gang);
  EXPECT_TRUE(Plan().starts.empty());
  AddWorker("w2", "r1");
  EXPECT_EQ(Plan().starts.size(), 3U);
}

// Guards against a gang that needs no accelerators on a worker whose accelerators are claimed twice
// over: its members were counted as fitting, and found no worker.
TEST_F(TaskPlannerTest, Gang_WithoutAccelerators_WhereMoreThanAllAreClaimed_StartsNothing) {
  AddWorker("w1", "r1");
  Submit("bulk", Step(1, 8), 2);
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 8), 0);
  StepSpec gang = Step(2, 0);
  gang.is_gang = true;
  Submit("gang", gang, 1);
  EXPECT_TRUE(Plan().starts.empty());
}

// Guards against a gang over two racks while one rack has room for it.
TEST_F(TaskPlannerTest, Gang_ThatPrefersOneRack_StaysOnOne) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  AddWorker("w3", "r2");
  StepSpec gang = Step(2, 8);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  Submit("gang", gang);
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(workers_[plan.starts[0].worker].info.rack, "r2");
  EXPECT_EQ(workers_[plan.starts[1].worker].info.rack, "r2");
}

// Guards against starts on workers without the required label, beyond the limit per worker, or in a
// data centre out of service.
TEST_F(TaskPlannerTest, Workers_WithoutLabelOrOutOfService_AreNotUsed) {
  AddWorker("w1", "r1", "a");
  AddWorker("w2", "r2", "b");
  AddWorker("w3", "r3", "b");
  evacuated_.insert("dc-r3");
  StepSpec step = Step(3, 1);
  step.required_label = "b";
  step.max_per_worker = 2;
  Submit("job", step);
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.starts.size(), 2U);
  EXPECT_EQ(plan.starts[0].worker, "w2");
  EXPECT_EQ(plan.starts[1].worker, "w2");
}

// Guards against starting a task away from its data without waiting for room near it, or waiting
// forever.
TEST_F(TaskPlannerTest, Task_WithDataOnARack_WaitsForItThenGoesElsewhere) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  Submit("full", Step(1, 8));
  StepSpec near = Step(1, 8);
  near.data_rack = "r1";
  ApplyStarts(Plan());
  const std::string taken = workers_["w1"].runs.empty() ? "r2" : "r1";
  near.data_rack = taken;
  near.estimate_ms = 2'000;
  Submit("near", near, 1, 100'000);
  EXPECT_TRUE(Plan(100'500).starts.empty());
  EXPECT_EQ(Plan(102'500).starts.size(), 1U);
}

// Guards against work of priority 0 that waits for less urgent work, and against stopping more, or
// more expensive, runs than needed.
TEST_F(TaskPlannerTest, Urgent_WhenFull_StopsTheCheapestRuns) {
  AddWorker("w1", "r1");
  Submit("old", Step(4, 1), 2);
  ApplyStarts(Plan());
  now_ += Milliseconds(5'000);
  Submit("young", Step(4, 1), 2);
  ApplyStarts(Plan());
  now_ += Milliseconds(1'000);
  Submit("urgent", Step(1, 2), 0);
  const StartPlan plan = Plan();
  EXPECT_TRUE(plan.starts.empty());
  ASSERT_EQ(plan.preemptions.size(), 2U);
  EXPECT_EQ(plan.preemptions[0].run.task.step.job, "young");
  EXPECT_EQ(plan.preemptions[1].run.task.step.job, "young");
}

// Guards against each plan stopping further runs until the first ones have ended.
TEST_F(TaskPlannerTest, Urgent_WhileItsVictimsEnd_StopsNoMore) {
  AddWorker("w1", "r1");
  Submit("bulk", Step(8, 1), 2);
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 2), 0);
  BeginStops(Plan());
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against more runs being stopped although the end of a gang frees room on all its workers.
TEST_F(TaskPlannerTest, Urgent_ThatStopsAGang_TakesTheRoomOfAllItsMembers) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r1");
  StepSpec gang = Step(2, 6);
  gang.is_gang = true;
  Submit("gang", gang, 2);
  ApplyStarts(Plan());
  Submit("single", Step(2, 2), 2);
  ApplyStarts(Plan());
  now_ += Milliseconds(1'000);
  Submit("urgent", Step(2, 6), 0);
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 1U);
  EXPECT_EQ(plan.preemptions[0].run.task.step.job, "gang");
}

// Guards against room that was cleared for a gang on one rack going to other urgent tasks, for
// which another rack is cleared then.
TEST_F(TaskPlannerTest, Urgent_GangOnOneRack_KeepsTheRoomThatWasClearedForIt) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r1");
  AddWorker("w3", "r2");
  Submit("bulk", Step(3, 8), 2);
  ApplyStarts(Plan());
  StepSpec gang = Step(2, 8);
  gang.is_gang = true;
  gang.prefers_one_rack = true;
  Submit("gang", gang, 0, 90'000);
  const StartPlan first = Plan();
  ASSERT_EQ(first.preemptions.size(), 2U);
  BeginStops(first);
  claims_ = first.claims;
  Submit("earlier", Step(1, 8), 0, 80'000);
  const StartPlan second = Plan();
  ASSERT_EQ(second.preemptions.size(), 1U);
  EXPECT_EQ(second.preemptions[0].worker, "w3");
  EXPECT_EQ(second.preemptions[0].beneficiary.step.job, "earlier");
}

// Guards against stopping a run just before it ends by itself.
TEST_F(TaskPlannerTest, Urgent_WhenARunIsAboutToEnd_WaitsForItsRoom) {
  AddWorker("w1", "r1");
  Submit("bulk", Step(1, 8), 2);
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 8), 0);
  PlacedRun& run = workers_["w1"].runs.begin()->second;
  now_ += Milliseconds(9'000);
  run.progress_percent = 90;
  run.progressed_at = now_;
  EXPECT_EQ(Plan().preemptions.size(), 1U);
  now_ += Milliseconds(700);
  EXPECT_TRUE(Plan().preemptions.empty());
  Submit("more", Step(1, 1), 2);
  EXPECT_TRUE(Plan().starts.empty());
}

// Guards against urgent work that waits for a run that takes longer than its progress suggested.
TEST_F(TaskPlannerTest, Urgent_WhenARunIsOverdue_StopsIt) {
  AddWorker("w1", "r1");
  Submit("bulk", Step(1, 8), 2);
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 8), 0);
  PlacedRun& run = workers_["w1"].runs.begin()->second;
  now_ += Milliseconds(9'000);
  run.progress_percent = 90;
  run.progressed_at = now_;
  now_ += Milliseconds(1'400);
  EXPECT_EQ(Plan().preemptions.size(), 1U);
}

// Guards against the room of stopped runs going to less urgent tasks.
TEST_F(TaskPlannerTest, Bulk_WhileUrgentWorkWaitsForRoom_GetsNoneOfIt) {
  AddWorker("w1", "r1");
  Submit("bulk", Step(8, 1), 2);
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 4), 0);
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.preemptions.size(), 4U);
  BeginStops(plan);
  workers_["w1"].Remove(plan.preemptions[0].run);
  Submit("more", Step(4, 1), 2);
  EXPECT_TRUE(Plan().starts.empty());
}

// Guards against stopping service tasks for batch work.
TEST_F(TaskPlannerTest, Urgent_WhenOnlyServiceTasksRun_StopsNone) {
  AddWorker("w1", "r1");
  StepSpec service = Step(8, 1);
  service.runs_until_cancelled = true;
  Submit("service", service, 2);
  ApplyStarts(Plan());
  Submit("urgent", Step(1, 2), 0);
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against service tasks that hold guaranteed room although some of them may be unavailable,
// and against stopping more of them than that.
TEST_F(TaskPlannerTest, Urgent_WhenServiceTasksMayBeUnavailable_StopsThatManyAtMost) {
  AddWorker("w1", "r1");
  StepSpec service = Step(8, 1);
  service.runs_until_cancelled = true;
  service.max_unavailable = 2;
  Submit("service", service, 2);
  ApplyStarts(Plan());
  for (auto& [run, placed] : workers_["w1"].runs) {
    placed.progress_percent = 100;
  }
  Submit("urgent", Step(1, 2), 0);
  EXPECT_EQ(Plan().preemptions.size(), 2U);
  workers_["w1"].runs.begin()->second.progress_percent = 0;
  EXPECT_TRUE(Plan().preemptions.empty());
}

// Guards against starts that the workers refuse because they lack a ticket.
TEST_F(TaskPlannerTest, Queue_ThatNeedsAdvice_AsksFirstAndUsesApprovedWorkersOnly) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2");
  JobSubmission submission;
  submission.id = "job";
  submission.queue.service = "inspect";
  submission.queue.needs_advice = true;
  submission.steps = {Step(1, 1)};
  jobs_.Apply(SubmissionSet{"job", submission});
  const StartPlan asking = Plan();
  EXPECT_TRUE(asking.starts.empty());
  ASSERT_TRUE(asking.question.has_value());
  EXPECT_EQ(asking.question->workers.size(), 2U);
  advice_.NoteAsked(asking.question->step, asking.question->workers);
  advice_.Add(asking.question->step, {{"w2", "ticket", SteadyTime::max()}});
  const StartPlan plan = Plan();
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts[0].worker, "w2");
  EXPECT_EQ(plan.starts[0].ticket, "ticket");
}

// Guards against occurrences that start before their time.
TEST_F(TaskPlannerTest, Occurrence_BeforeItsTime_DoesNotStart) {
  AddWorker("w1", "r1");
  JobSubmission submission;
  submission.id = "job";
  submission.queue.service = "inspect";
  submission.steps = {Step(1, 1)};
  submission.occurrences = 2;
  submission.first_run_at_ms = 100'000;
  submission.interval_ms = 1'000;
  jobs_.Apply(SubmissionSet{"job", submission});
  EXPECT_TRUE(Plan(99'999).starts.empty());
  EXPECT_EQ(Plan(100'000).starts.size(), 1U);
  EXPECT_EQ(Plan(101'000).starts.size(), 2U);
}

}  // namespace
}  // namespace clementineloom::workload
