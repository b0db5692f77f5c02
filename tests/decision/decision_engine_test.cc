#include <algorithm>
#include <chrono>

#include "clementineloom/decision/default_decision_engine.h"
#include "decision/cluster_fixture.h"

namespace clementineloom {
namespace {

class DecisionEngineTest : public testing_support::ClusterFixture {
 protected:
  /// Advances the time, decides, applies all records and returns them.
  std::vector<RecordBody> Step(Duration after = std::chrono::seconds(1)) {
    now_ += after;
    std::vector<RecordBody> records = engine_.Decide(state_, now_);
    ApplyAll(records);
    return records;
  }

  template <class Body>
  static std::vector<Body> RecordsOfType(const std::vector<RecordBody>& records) {
    std::vector<Body> found;
    for (const RecordBody& it : records) {
      if (const auto* body = std::get_if<Body>(&it)) {
        found.push_back(*body);
      }
    }
    return found;
  }

  void Start(JobId job) { (void)Apply(JobStarted{job, state_.FindJob(job)->attempt}); }

  /// Fails the job's attempt on its first worker, which is returned, and puts the job back into the
  /// queue.
  WorkerId FailAttempt(JobId job) {
    const WorkerId worker = state_.FindJob(job)->allocations.front().worker();
    (void)Apply(
        StopRequested{job, state_.FindJob(job)->attempt, StopReason::kAttemptFailed, worker});
    AcknowledgeStop(job);
    return worker;
  }

  /// Fills eight workers, fails the job on the given one, lets it run on another and ends all jobs.
  /// Returns the changes of worker condition.
  std::vector<WorkerConditionChanged> RunRoundWithFailureOn(const std::string& worker) {
    for (int n = 0; n < 8; ++n) {
      (void)Submit("t", Shape(8));
    }
    (void)Step();
    const JobId failing = state_.worker(*state_.FindWorker(worker)).jobs.front();
    const std::set<JobId> jobs = state_.active_jobs();
    for (const JobId it : jobs) {
      if (it != failing) {
        Finish(it);
      }
    }
    (void)FailAttempt(failing);
    auto changes = RecordsOfType<WorkerConditionChanged>(Step());
    Start(failing);
    Finish(failing);
    return changes;
  }

  static std::string WorkerName(int rack, int n) {
    std::string name = "a-r";
    return name.append(std::to_string(rack)).append("-").append(std::to_string(n));
  }

  Instant now_;
  DefaultDecisionEngine engine_;
};

// Guards against one record, and so one round trip to the log, for each job of a burst.
TEST_F(DecisionEngineTest, Decide_WithManyWaiting_PlacesThemInOneRecord) {
  AddDataCentre("a", 2, 6);
  AddTeam("t", {Guarantee(Shape(8), 2)});
  for (int n = 0; n < 40; ++n) {
    (void)Submit("t", Shape(2));
  }
  const auto records = Step();
  ASSERT_EQ(records.size(), 1U);
  EXPECT_EQ(std::get<JobsPlaced>(records.front()).placements.size(), 40U);
  EXPECT_EQ(state_.active_jobs().size(), 40U);
  EXPECT_TRUE(Step().empty());
}

// Guards against urgent work that waits behind a burst.
TEST_F(DecisionEngineTest, Decide_WithUrgentJobLast_PlacesItFirst) {
  AddDataCentre("a", 1, 1);
  AddTeam("t", {Guarantee(Shape(8), 1)});
  (void)Submit("t", Shape(8));
  const JobId urgent = Submit("t", Shape(8), JobPriority::kUrgent);
  (void)Step();
  EXPECT_EQ(PhaseOf(urgent), JobPhase::kPlaced);
}

// Guards against the older burst of a large team starving a small team.
TEST_F(DecisionEngineTest, Decide_WithTwoTeams_SharesBorrowedRoom) {
  AddDataCentre("a", 1, 4);
  AddTeam("big", {Guarantee(Shape(1), 1)});
  AddTeam("small", {Guarantee(Shape(1), 1)});
  for (int n = 0; n < 8; ++n) {
    (void)Submit("big", Shape(7));
  }
  (void)Submit("small", Shape(7));
  (void)Submit("small", Shape(7));
  (void)Step();
  EXPECT_EQ(state_.team(*state_.FindTeam("small")).held_accelerators, 14U);
  EXPECT_EQ(state_.team(*state_.FindTeam("big")).held_accelerators, 14U);
}

// Guards against a job that waits for ever for workers that the cluster does not have.
TEST_F(DecisionEngineTest, Decide_WithJobThatNeverFits_RefusesIt) {
  AddDataCentre("a", 2, 4);
  AddTeam("t", {Guarantee(Shape(8), 1)});
  const JobId job = Submit("t", Shape(8, 5, Adjacency::kRack));
  (void)Step();
  EXPECT_EQ(state_.FindJob(job)->outcome, JobOutcome::kRefused);
}

// Guards against refusing a job that fits once the data centre is back in service.
TEST_F(DecisionEngineTest, Decide_WithDataCentreOutOfService_LetsFittingJobWait) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8), 1)});
  SetDataCentre("a", false);
  const JobId job = Submit("t", Shape(8, 4, Adjacency::kRack));
  EXPECT_TRUE(Step().empty());
  SetDataCentre("a", true);
  (void)Step();
  EXPECT_EQ(PhaseOf(job), JobPhase::kPlaced);
}

// Guards against jobs that stay on lost or leaving workers or in a data centre out of service.
TEST_F(DecisionEngineTest, Decide_AfterWorkersLeave_StopsTheirJobsOnce) {
  AddDataCentre("a", 1, 3);
  AddTeam("t", {Guarantee(Shape(8), 3)});
  for (int n = 0; n < 3; ++n) {
    (void)Submit("t", Shape(8));
  }
  (void)Step();
  SetCondition(WorkerName(0, 0), WorkerCondition::kLost);
  SetCondition(WorkerName(0, 1), WorkerCondition::kLeaving);
  const auto stops = RecordsOfType<StopRequested>(Step());
  ASSERT_EQ(stops.size(), 2U);
  EXPECT_EQ(stops[0].reason, StopReason::kWorkerLost);
  EXPECT_EQ(stops[1].reason, StopReason::kWorkerLeaving);
  SetDataCentre("a", false);
  const auto more = RecordsOfType<StopRequested>(Step());
  ASSERT_EQ(more.size(), 1U);
  EXPECT_EQ(more[0].reason, StopReason::kDataCentreOut);
  EXPECT_TRUE(Step().empty());
}

// Guards against borrowers that are not preempted for a guarantee, and against a second set of
// victims.
TEST_F(DecisionEngineTest, Decide_WithBorrowersInTheWay_ReclaimsOnce) {
  AddDataCentre("a", 1, 4);
  AddTeam("owner", {Guarantee(Shape(8, 4, Adjacency::kRack), 1)});
  AddTeam("t", {Guarantee(Shape(1), 1)}, true);
  SetCondition(WorkerName(0, 0), WorkerCondition::kLive);
  for (int n = 0; n < 4; ++n) {
    (void)Submit("t", Shape(8));
  }
  (void)Step();
  EXPECT_EQ(state_.active_jobs().size(), 4U);
  const JobId gang = Submit("owner", Shape(8, 4, Adjacency::kRack));
  const auto stops = RecordsOfType<StopRequested>(Step());
  EXPECT_EQ(stops.size(), 4U);
  EXPECT_TRUE(Step().empty());
  for (const StopRequested& it : stops) {
    AcknowledgeStop(it.job);
  }
  (void)Step();
  EXPECT_EQ(PhaseOf(gang), JobPhase::kPlaced);
}

// Guards against small jobs that starve a large one, with run times declared ten times too short.
// Bound: the large job starts once the jobs that ran when its reservation was made have ended.
TEST_F(DecisionEngineTest, Decide_WithStreamOfSmallJobs_StartsLargeJobWithinBound) {
  AddDataCentre("a", 1, 4);
  AddTeam("large", {Guarantee(Shape(1), 1)});
  AddTeam("small", {Guarantee(Shape(1), 1)});
  std::vector<JobId> first;
  first.reserve(4);
  for (int n = 0; n < 4; ++n) {
    first.push_back(Submit("small", Shape(8), JobPriority::kNormal, kHour));
  }
  (void)Step();
  const JobId large = Submit("large", Shape(8, 4, Adjacency::kRack));
  (void)Step();
  for (const JobId it : first) {
    ASSERT_NE(PhaseOf(it), JobPhase::kWaiting);
    Finish(it);
    (void)Submit("small", Shape(8), JobPriority::kNormal, std::chrono::minutes(1));
    for (const StopRequested& stop : RecordsOfType<StopRequested>(Step(std::chrono::minutes(10)))) {
      AcknowledgeStop(stop.job);
    }
  }
  (void)Step();
  EXPECT_EQ(PhaseOf(large), JobPhase::kPlaced);
}

// Guards against idle reserved workers while short jobs wait.
TEST_F(DecisionEngineTest, Decide_WithShortJobsBesideReservation_BackfillsThem) {
  AddDataCentre("a", 1, 2);
  AddTeam("t", {Guarantee(Shape(1), 1)});
  for (int n = 0; n < 3; ++n) {
    const JobId job = Submit("t", Shape(1), JobPriority::kNormal, kHour, "short");
    (void)Step();
    Finish(job, JobOutcome::kSucceeded, std::chrono::minutes(1));
  }
  const JobId running = Submit("t", Shape(8), JobPriority::kNormal, 10 * kHour, "long");
  (void)Step();
  const JobId large = Submit("t", Shape(8, 2, Adjacency::kRack));
  (void)Step();
  EXPECT_EQ(PhaseOf(large), JobPhase::kWaiting);
  const JobId backfill = Submit("t", Shape(8), JobPriority::kNormal, kHour, "short");
  const JobId slow = Submit("t", Shape(8), JobPriority::kNormal, 100 * kHour, "long");
  (void)Step();
  EXPECT_EQ(PhaseOf(running), JobPhase::kPlaced);
  EXPECT_EQ(PhaseOf(backfill), JobPhase::kPlaced);
  EXPECT_EQ(PhaseOf(slow), JobPhase::kWaiting);
}

// Guards against one scheduling pass for each of many cancellations.
TEST_F(DecisionEngineTest, Decide_AfterManyCancellations_PlacesRemainingJobInOneRecord) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8), 4)});
  std::vector<JobId> cancelled;
  cancelled.reserve(1'000);
  for (int n = 0; n < 1'000; ++n) {
    cancelled.push_back(Submit("t", Shape(8)));
  }
  const JobId kept = Submit("t", Shape(8));
  (void)Apply(JobsCancelled{cancelled});
  const auto records = Step();
  EXPECT_EQ(records.size(), 1U);
  EXPECT_EQ(PhaseOf(kept), JobPhase::kPlaced);
}

// Guards against a worker that fails every job and still gets new ones.
TEST_F(DecisionEngineTest, Decide_WithWorkerThatFailsJobs_QuarantinesAndProbesIt) {
  AddDataCentre("a", 1, 8);
  AddTeam("t", {Guarantee(Shape(8), 8)});
  const std::string faulty_worker = WorkerName(0, 0);
  std::vector<WorkerConditionChanged> changes;
  for (int round = 0; round < 3; ++round) {
    EXPECT_TRUE(changes.empty());
    changes = RunRoundWithFailureOn(faulty_worker);
  }
  ASSERT_EQ(changes.size(), 1U);
  EXPECT_EQ(changes.front().worker, faulty_worker);
  EXPECT_EQ(changes.front().condition, WorkerCondition::kQuarantined);
  EXPECT_TRUE(RecordsOfType<WorkerConditionChanged>(Step()).empty());
  const auto probes =
      RecordsOfType<WorkerConditionChanged>(Step(DecisionOptions().quarantine_time));
  ASSERT_EQ(probes.size(), 1U);
  EXPECT_EQ(probes.front().condition, WorkerCondition::kLive);
}

// Guards against a faulty job that gets healthy workers quarantined or is retried for ever.
TEST_F(DecisionEngineTest, Decide_WithJobThatFailsEverywhere_EndsItAndKeepsWorkers) {
  AddDataCentre("a", 1, 8);
  AddTeam("t", {Guarantee(Shape(8), 8)});
  const JobId job = Submit("t", Shape(8));
  std::set<WorkerId> workers;
  for (int n = 0; n < 10 && PhaseOf(job) != JobPhase::kEnded; ++n) {
    EXPECT_TRUE(RecordsOfType<WorkerConditionChanged>(Step()).empty());
    if (PhaseOf(job) == JobPhase::kPlaced) {
      workers.insert(FailAttempt(job));
    }
  }
  EXPECT_EQ(workers.size(), DecisionOptions().max_failed_workers);
  EXPECT_EQ(state_.FindJob(job)->outcome, JobOutcome::kFailed);
}

// Guards against a team whose failing jobs are retried without a limit.
TEST_F(DecisionEngineTest, Decide_WithRetryBudgetSpent_WaitsForTheWindow) {
  AddDataCentre("a", 1, 8);
  Team::Fields fields;
  fields.name = "t";
  fields.guarantees = {Guarantee(Shape(8), 8)};
  fields.retry_budget_per_hour = 1;
  (void)Edit(SetTeam{testing_support::ValueOrDie([&] { return Team::Create(fields); })});
  const JobId first = Submit("t", Shape(8));
  const JobId second = Submit("t", Shape(8));
  (void)Step();
  (void)FailAttempt(first);
  (void)FailAttempt(second);
  (void)Step();
  EXPECT_EQ(state_.waiting_jobs().size(), 1U);
  (void)Step(RetryBudget::kWindow);
  EXPECT_TRUE(state_.waiting_jobs().empty());
}

}  // namespace
}  // namespace clementineloom
