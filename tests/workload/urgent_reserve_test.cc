#include <gtest/gtest.h>

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/urgent_demand.h"
#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class UrgentReserveTest : public PlannerTest {
 protected:
  static constexpr Milliseconds kStep{250};
  static constexpr Milliseconds kUrgentRunTime{500};
  static constexpr Milliseconds kBulkRunTime{5'000};

  void SetUp() override {
    for (const std::string rack : {"r1", "r2", "r3", "r4"}) {
      AddWorker(rack + "-a", rack);
      AddWorker(rack + "-b", rack);
    }
  }
  static constexpr std::int64_t kFirstDueMs = 100'000;

  void SubmitUrgentGang() {
    StepSpec gang = Step(2, 8);
    gang.is_gang = true;
    gang.prefers_one_rack = true;
    Submit("urgent-" + std::to_string(urgent_jobs_), gang, kPreemptingPriority,
           kFirstDueMs + urgent_jobs_);
    ++urgent_jobs_;
  }
  StartPlan PlanWithReserve(std::int64_t accelerators) {
    const AcceleratorsByService reserve{{"inspect", accelerators}};
    return PlanStarts(
        {jobs_, workers_, evacuated_, advice_, claims_, now_, kFirstDueMs, teams_, reserve});
  }
  std::int64_t AcceleratorsInUse() const {
    std::int64_t used = 0;
    for (const auto& [id, worker] : workers_) {
      used += worker.used.accelerators;
    }
    return used;
  }
  // Ends the runs that have run for their time. A task that is done leaves its job's table.
  void EndRuns() {
    for (auto& [id, worker] : workers_) {
      for (const auto& [run, placed] : std::map(worker.runs)) {
        const bool is_urgent = placed.priority == kPreemptingPriority;
        if (now_ - placed.placed_at >= (is_urgent ? kUrgentRunTime : kBulkRunTime)) {
          worker.Remove(run);
          jobs_.Apply(TaskSet{run.task, TaskRecord{TaskPhase::kDone, run.run, id, 0, {}}});
        }
      }
    }
  }

  int urgent_jobs_ = 0;
};

// Guards against urgent gangs that arrive every second and each have to stop work that has just
// filled the room of the one before.
TEST_F(UrgentReserveTest, UrgentGangs_ThatArriveEverySecondOnAFullFleet_StopNothingOnceForecast) {
  Submit("bulk", Step(400, 1), 2);
  UrgentDemand demand;
  std::size_t late_preemptions = 0;
  std::size_t urgent_starts = 0;
  for (int step = 0; step < 80; ++step) {
    EndRuns();
    if (step % 4 == 0) {
      SubmitUrgentGang();
    }
    const StartPlan plan = PlanWithReserve(demand.Forecast(now_));
    for (const auto& [service, load] : plan.urgent_loads) {
      demand.Note(now_, load);
    }
    claims_ = plan.claims;
    ApplyStarts(plan);
    for (const Preemption& it : plan.preemptions) {
      workers_[it.worker].Remove(it.run);
    }
    // The first work that fills the fleet is stopped or ends within its run time.
    late_preemptions += step >= 24 ? plan.preemptions.size() : 0;
    for (const PlannedStart& it : plan.starts) {
      urgent_starts += it.run.priority == kPreemptingPriority ? 1 : 0;
    }
    now_ += kStep;
  }
  EXPECT_EQ(late_preemptions, 0U);
  EXPECT_GE(urgent_starts, 2U * 19U);
}

// Guards against a forecast that starves all other work.
TEST_F(UrgentReserveTest, Bulk_BesideAForecastOfMoreThanTheFleet_GetsMoreThanHalfOfIt) {
  Submit("bulk", Step(400, 1), 2);
  ApplyStarts(PlanWithReserve(1'000));
  EXPECT_GT(AcceleratorsInUse(), 8 * 8 / 2);
  EXPECT_LT(AcceleratorsInUse(), 8 * 8);
}

// Guards against service tasks that wait although there is room.
TEST_F(UrgentReserveTest, ServiceTasks_WhereOnlyReservedRoomIsFree_Start) {
  Submit("bulk", Step(400, 1), 2);
  ApplyStarts(PlanWithReserve(16));
  StepSpec service = Step(4, 1);
  service.runs_until_cancelled = true;
  Submit("service", service, 1);
  EXPECT_EQ(PlanWithReserve(16).starts.size(), 4U);
}

// Guards against an urgent gang that takes the room of bulk work while its own is empty.
TEST_F(UrgentReserveTest, UrgentGang_WithRoomInTheReserve_StartsThere) {
  Submit("bulk", Step(36, 1), 2);
  ApplyStarts(PlanWithReserve(16));
  SubmitUrgentGang();
  const StartPlan plan = PlanWithReserve(16);
  ASSERT_EQ(plan.starts.size(), 2U);
  for (const PlannedStart& it : plan.starts) {
    EXPECT_EQ(workers_.at(it.worker).used, Resources{});
  }
}

}  // namespace
}  // namespace clementineloom::workload
