#include "scheduler/task_driver.h"

#include <gtest/gtest.h>

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "support/cluster_records.h"
#include "support/manual_clock.h"

namespace clementineloom::scheduler {
namespace {

using platform::TaskState;
using std::chrono::milliseconds;
using testing_support::ManualClock;

// Keeps the commands that were sent until the test answers them.
class FakeChannel {
 public:
  bool Send(const platform::WorkerCall& call) {
    calls.push_back(call);
    return !is_full;
  }

  std::vector<platform::WorkerCall> calls;
  bool is_full = false;
};

class TaskDriverTest : public testing::Test {
 protected:
  static constexpr int kGang = 3;

  TaskDriverTest() {
    ManualClock::Reset();
    ReachTail();
  }

  static DriverOptions Options() {
    DriverOptions options;
    options.instance = "entry-a";
    options.process = "entry-a-p";
    return options;
  }

  static Attempt MakeAttempt(JobPhase phase, std::uint32_t number = 1) {
    Attempt attempt;
    attempt.key = {JobId(7), number, FencingToken(20 + number)};
    attempt.phase = phase;
    attempt.command = "run";
    for (int n = 0; n < kGang; ++n) {
      attempt.members.push_back(
          {WorkerId(static_cast<std::uint32_t>(n)), testing_support::WorkerAddress(n), 8, false});
    }
    return attempt;
  }

  void SendAttempt(const Attempt& attempt) {
    HandleAndTick(std::make_shared<const Attempt>(attempt));
  }

  void HandleAndTick(DriverEvent event) {
    driver_.Handle(std::move(event), ManualClock::now());
    driver_.Tick(ManualClock::now());
  }

  void ReachTail() {
    ViewFreshness view;
    view.at_tail = ManualClock::now();
    HandleAndTick(view);
  }

  // Advances the time in small steps without updating the view.
  void AdvanceAndTick(milliseconds time) {
    constexpr milliseconds kStep(50);
    for (milliseconds passed(0); passed < time; passed += kStep) {
      ManualClock::Advance(kStep);
      driver_.Tick(ManualClock::now());
    }
  }

  // Answers all commands sent so far; calls to unreachable_addresses_ fail.
  void AnswerWith(const std::function<TaskState(const platform::WorkerCall&)>& state_of) {
    for (const platform::WorkerCall& it : std::exchange(channel_.calls, {})) {
      if (unreachable_addresses_.contains(it.address)) {
        HandleAndTick(platform::WorkerResult{
            it.id, Refusal{ResultCode::kWorkerUnreachable, RunState::kMayHaveRun, it.address}});
        continue;
      }
      platform::TaskReport report;
      report.state = state_of(it);
      HandleAndTick(platform::WorkerResult{it.id, report});
    }
    driver_.Tick(ManualClock::now());
  }

  // What a healthy worker answers.
  static TaskState Healthy(const platform::WorkerCall& call) {
    if (std::holds_alternative<platform::ReserveCommand>(call.command)) {
      return TaskState::kReserved;
    }
    return std::holds_alternative<platform::StopCommand>(call.command) ? TaskState::kStopped
                                                                       : TaskState::kRunning;
  }

  void Answer() { AnswerWith(Healthy); }

  void StartGang() {
    SendAttempt(MakeAttempt(JobPhase::kPlaced));
    Answer();
    AdvanceAndTick(milliseconds(50));
    Answer();
  }

  template <class Command>
  std::size_t Sent() const {
    return static_cast<std::size_t>(std::ranges::count_if(channel_.calls, [](const auto& it) {
      return std::holds_alternative<Command>(it.command);
    }));
  }

  // The bodies proposed since the last call.
  std::vector<RecordBody> Proposed() {
    std::vector<RecordBody> bodies;
    while (auto event = appends_.TryPop()) {
      bodies.push_back(std::get<Proposal>(*event).record->body);
    }
    return bodies;
  }

  FakeChannel channel_;
  std::set<std::string> unreachable_addresses_;
  BoundedRing<AppendEvent> appends_{64};
  BoundedRing<Drained> drained_{4};
  metrics::MetricRegistry metrics_;
  TaskDriver<FakeChannel> driver_{Options(), channel_, {appends_, drained_, metrics_}};
};

// Guards against a gang that starts in part: no start before all workers are reserved.
TEST_F(TaskDriverTest, Place_WithHealthyWorkers_StartsAfterAllAreReserved) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  EXPECT_EQ(Sent<platform::ReserveCommand>(), std::size_t{kGang});
  EXPECT_EQ(Sent<platform::StartCommand>(), 0U);
  Answer();
  AdvanceAndTick(milliseconds(50));
  EXPECT_EQ(Sent<platform::StartCommand>(), std::size_t{kGang});
  EXPECT_TRUE(Proposed().empty());
  Answer();
  AdvanceAndTick(milliseconds(50));
  const auto proposed = Proposed();
  ASSERT_EQ(proposed.size(), 1U);
  EXPECT_EQ(proposed[0], RecordBody(JobStarted{JobId(7), 1}));
}

// Guards against a gang of which some workers run while one refused: all have to be released.
TEST_F(TaskDriverTest, Place_WhenOneWorkerRefusesStart_RequestsStopAndReleasesAll) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  Answer();
  AdvanceAndTick(milliseconds(50));
  auto calls = std::exchange(channel_.calls, {});
  HandleAndTick(platform::WorkerResult{
      calls[1].id, Refusal{ResultCode::kWorkerRefused, RunState::kDidNotRun, ""}});
  const auto proposed = Proposed();
  ASSERT_EQ(proposed.size(), 1U);
  EXPECT_EQ(proposed[0],
            RecordBody(StopRequested{JobId(7), 1, StopReason::kStartDeadline, WorkerId(1)}));
  EXPECT_EQ(Sent<platform::StopCommand>(), 0U) << "the stop was not read back yet";
  SendAttempt(MakeAttempt(JobPhase::kStopping));
  for (const std::size_t n : {std::size_t{0}, std::size_t{2}}) {
    HandleAndTick(
        platform::WorkerResult{calls[n].id, platform::TaskReport{{}, 8, TaskState::kRunning}});
  }
  AdvanceAndTick(milliseconds(250));
  EXPECT_EQ(Sent<platform::StopCommand>(), std::size_t{kGang});
  EXPECT_EQ(channel_.calls.size(), std::size_t{kGang}) << "nothing else may be sent";
  Answer();
  AdvanceAndTick(milliseconds(250));
  EXPECT_EQ(Proposed(), std::vector<RecordBody>{RecordBody(JobStopped{JobId(7), 1})});
}

// Guards against a gang that waits forever for a worker that died after its reservation.
TEST_F(TaskDriverTest, Place_WhenWorkerDiesBetweenReserveAndStart_GivesUpAndSuspectsIt) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  Answer();
  unreachable_addresses_.insert(testing_support::WorkerAddress(2));
  for (int n = 0; n < 110; ++n) {
    ReachTail();
    AdvanceAndTick(milliseconds(50));
    Answer();
  }
  const auto proposed = Proposed();
  ASSERT_FALSE(proposed.empty());
  EXPECT_EQ(proposed[0],
            RecordBody(StopRequested{JobId(7), 1, StopReason::kStartDeadline, WorkerId(2)}));
}

// Guards against a start based on a stale view, for example in a process that was paused.
TEST_F(TaskDriverTest, Place_WhenViewBecomesStaleAfterReserve_StartsNothing) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  const auto calls = std::exchange(channel_.calls, {});
  ManualClock::Advance(milliseconds(2'001));
  for (const platform::WorkerCall& it : calls) {
    HandleAndTick(platform::WorkerResult{it.id, platform::TaskReport{{}, 8, TaskState::kReserved}});
  }
  AdvanceAndTick(milliseconds(500));
  EXPECT_TRUE(channel_.calls.empty());
  ReachTail();
  AdvanceAndTick(milliseconds(50));
  EXPECT_EQ(Sent<platform::StartCommand>(), std::size_t{kGang});
}

// Guards against a task that starts in a data centre that was taken out of service while its start
// was in progress.
TEST_F(TaskDriverTest, Place_WhenDataCentreIsTakenOutDuringStart_StartsNothing) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  Attempt out = MakeAttempt(JobPhase::kPlaced);
  out.due_stop = StopReason::kDataCentreOut;
  SendAttempt(out);
  Answer();
  AdvanceAndTick(milliseconds(500));
  EXPECT_TRUE(channel_.calls.empty());
  const auto proposed = Proposed();
  ASSERT_EQ(proposed.size(), 1U);
  EXPECT_EQ(proposed[0],
            RecordBody(StopRequested{JobId(7), 1, StopReason::kDataCentreOut, std::nullopt}));
}

// Guards against work that stops because the log is down, and against leases that are renewed
// after another scheduler may consider them expired.
TEST_F(TaskDriverTest, Renew_WhileLogIsDown_ContinuesUntilMaxViewAge) {
  SendAttempt(MakeAttempt(JobPhase::kRunning));
  Answer();
  AdvanceAndTick(milliseconds(3'050));
  EXPECT_EQ(Sent<platform::RenewCommand>(), std::size_t{kGang});
  Answer();
  ManualClock::Advance(Options().max_renew_view_age);
  channel_.calls.clear();
  AdvanceAndTick(milliseconds(10'000));
  EXPECT_TRUE(channel_.calls.empty());
}

// Guards against a lease that is renewed after its stop was read.
TEST_F(TaskDriverTest, Stop_OfRunningAttempt_RenewsNoLeaseAndCheckpointsFirst) {
  SendAttempt(MakeAttempt(JobPhase::kRunning));
  Answer();
  Attempt stopping = MakeAttempt(JobPhase::kStopping);
  stopping.stop_reason = StopReason::kReclaim;
  SendAttempt(stopping);
  EXPECT_EQ(Sent<platform::CheckpointCommand>(), std::size_t{kGang});
  Answer();
  AdvanceAndTick(milliseconds(250));
  EXPECT_EQ(Sent<platform::StopCommand>(), std::size_t{kGang});
  EXPECT_EQ(Sent<platform::RenewCommand>(), 0U);
  EXPECT_TRUE(Proposed().empty());
  Answer();
  AdvanceAndTick(milliseconds(250));
  const auto proposed = Proposed();
  ASSERT_EQ(proposed.size(), 1U);
  EXPECT_EQ(proposed[0], RecordBody(JobStopped{JobId(7), 1}));
}

// Guards against a job that runs twice: an unreachable worker may still run its task until its
// lease has certainly expired.
TEST_F(TaskDriverTest, Stop_OfUnreachableWorker_WaitsForLeaseExpiry) {
  unreachable_addresses_.insert(testing_support::WorkerAddress(0));
  SendAttempt(MakeAttempt(JobPhase::kStopping));
  const auto drive = [this](milliseconds time) {
    ManualClock::Advance(time);
    driver_.Tick(ManualClock::now());
    Answer();
    AdvanceAndTick(milliseconds(250));
    Answer();
    AdvanceAndTick(milliseconds(250));
  };
  drive(milliseconds(0));
  drive(Options().max_renew_view_age + Options().lease - milliseconds(5'000));
  EXPECT_TRUE(Proposed().empty());
  drive(milliseconds(5'000));
  EXPECT_FALSE(Proposed().empty());
}

// Guards against waiting for a worker that is no longer on the instance list.
TEST_F(TaskDriverTest, Stop_OfLostWorker_NeedsNoAnswerFromIt) {
  Attempt stopping = MakeAttempt(JobPhase::kStopping);
  for (GangMember& it : stopping.members) {
    it.is_lost = true;
  }
  SendAttempt(stopping);
  EXPECT_TRUE(channel_.calls.empty());
  EXPECT_EQ(Proposed().size(), 1U);
}

// Guards against a job that is finished while one of its workers still runs, or never.
TEST_F(TaskDriverTest, Renew_WhenTasksEnd_FinishesTheJobAfterTheLast) {
  SendAttempt(MakeAttempt(JobPhase::kRunning));
  AnswerWith([](const platform::WorkerCall& it) {
    const bool is_last = it.address == testing_support::WorkerAddress(0);
    return is_last ? TaskState::kRunning : TaskState::kSucceeded;
  });
  EXPECT_TRUE(Proposed().empty());
  AdvanceAndTick(milliseconds(3'050));
  EXPECT_EQ(Sent<platform::RenewCommand>(), 1U);
  AnswerWith([](const auto&) { return TaskState::kSucceeded; });
  const auto proposed = Proposed();
  ASSERT_EQ(proposed.size(), 1U);
  EXPECT_EQ(std::get<JobFinished>(proposed[0]).outcome, JobOutcome::kSucceeded);
}

// Guards against an answer to an earlier attempt that is applied to the current one.
TEST_F(TaskDriverTest, Report_OfEarlierAttempt_IsIgnored) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  const auto late = std::exchange(channel_.calls, {});
  SendAttempt(MakeAttempt(JobPhase::kPlaced, 2));
  for (const platform::WorkerCall& it : late) {
    HandleAndTick(platform::WorkerResult{it.id, platform::TaskReport{{}, 8, TaskState::kReserved}});
  }
  AdvanceAndTick(milliseconds(50));
  EXPECT_EQ(Sent<platform::StartCommand>(), 0U);
}

// Guards against a scheduler of a lower rank that does the same work at once or never takes over.
TEST_F(TaskDriverTest, Place_AtLowerRank_WaitsForRankDelay) {
  std::vector<SchedulerPeer> peers{{"entry-a", "127.0.0.1:1"}};
  int n = 0;
  while (MembershipView(1, peers).RankOf("entry-a", 7) == 0) {
    peers.push_back({"entry-" + std::to_string(n++), "127.0.0.1:1"});
  }
  HandleAndTick(std::make_shared<const MembershipView>(1, peers));
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  AdvanceAndTick(milliseconds(350));
  EXPECT_TRUE(channel_.calls.empty());
  AdvanceAndTick(milliseconds(100));
  EXPECT_EQ(Sent<platform::ReserveCommand>(), std::size_t{kGang});
}

// Guards against a drain that begins new starts or abandons one in progress.
TEST_F(TaskDriverTest, Drain_WithStartInProgress_FinishesItAndBeginsNoOther) {
  SendAttempt(MakeAttempt(JobPhase::kPlaced));
  HandleAndTick(StartDraining{});
  EXPECT_FALSE(drained_.TryPop());
  Attempt other = MakeAttempt(JobPhase::kPlaced);
  other.key.job = JobId(8);
  SendAttempt(other);
  AdvanceAndTick(milliseconds(100));
  EXPECT_EQ(Sent<platform::ReserveCommand>(), std::size_t{kGang});
  Answer();
  AdvanceAndTick(milliseconds(50));
  Answer();
  SendAttempt(MakeAttempt(JobPhase::kRunning));
  EXPECT_TRUE(drained_.TryPop());
}

}  // namespace
}  // namespace clementineloom::scheduler
