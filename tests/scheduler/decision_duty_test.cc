#include "scheduler/decision_duty.h"

#include <gtest/gtest.h>

#include <memory>
#include <string>
#include <vector>

#include "clementineloom/decision/first_fit_placer.h"
#include "scheduler/scheduler_replica.h"
#include "support/cluster_records.h"
#include "support/manual_clock.h"
#include "support/memory_log.h"

namespace clementineloom::scheduler {
namespace {

using std::chrono::milliseconds;
using testing_support::ManualClock;
using testing_support::MemoryLog;
using Fault = MemoryLog::Fault;

using Replica = SchedulerReplica<FirstFitPlacer>;

class DecisionDutyTest : public testing::Test {
 protected:
  DecisionDutyTest() { ManualClock::Reset(); }

  void AddCluster(int workers) {
    for (const RecordBody& it : testing_support::MakeCluster(workers)) {
      Add(it);
    }
  }

  void Add(const RecordBody& body) {
    log_.Add(codec::EncodeRecord(Record{"r" + std::to_string(log_.payloads().size()), body}));
  }

  static ConfigConfirm Confirm(std::uint64_t base, bool in_service) {
    return {{SetDataCentre{testing_support::MakeDataCentre(in_service)}},
            ConfigRevision(base),
            "operator"};
  }

  static JobSubmit Submit(const std::string& key) { return {key, testing_support::MakeSpec(1)}; }

  static void AdvanceTime(milliseconds time) { ManualClock::Advance(time); }

  template <class View>
  static View AnswerOf(const std::shared_ptr<ReplyRing>& reply) {
    const auto answer = reply->TryPop();
    const View* view = answer ? std::get_if<View>(&*answer) : nullptr;
    EXPECT_NE(view, nullptr) << (answer ? "another kind of answer" : "no answer yet");
    return view != nullptr ? *view : View{};
  }

  static ResultCode RefusalCodeOf(const std::shared_ptr<ReplyRing>& reply) {
    const auto answer = reply->TryPop();
    const auto* refusal = answer ? std::get_if<Refusal>(&*answer) : nullptr;
    return refusal == nullptr ? ResultCode::kOk : refusal->code;
  }

  MemoryLog log_;
  Replica replica_{log_, "entry-a"};
  Replica other_{log_, "entry-b"};
};

// Guards against a waiting job that is never placed, or is placed twice by one scheduler.
TEST_F(DecisionDutyTest, Tick_WithWaitingJob_PlacesItOnce) {
  AddCluster(2);
  Add(testing_support::Submit("key", 2));
  const std::size_t before = log_.payloads().size();
  for (int n = 0; n < 5; ++n) {
    replica_.Step();
    AdvanceTime(milliseconds(300));
  }
  EXPECT_EQ(log_.payloads().size(), before + 1);
  EXPECT_EQ(replica_.state().active_jobs().size(), 1U);
}

// Guards against replicas whose states diverge after they made conflicting proposals.
TEST_F(DecisionDutyTest, Tick_WhenTwoReplicasProposeAtOnce_OnePlacementHolds) {
  AddCluster(1);
  Add(testing_support::Submit("a", 1));
  Add(testing_support::Submit("b", 1));
  replica_.Read();
  other_.Read();
  replica_.Decide();
  other_.Decide();
  replica_.Append();
  other_.Append();
  replica_.Read();
  other_.Read();
  EXPECT_EQ(replica_.state().active_jobs().size(), 1U);
  EXPECT_EQ(replica_.state().active_jobs(), other_.state().active_jobs());
  const JobId job = *replica_.state().active_jobs().begin();
  EXPECT_EQ(replica_.state().FindJob(job)->token, other_.state().FindJob(job)->token);
}

// Guards against a decision based on a stale view, for example after the process was paused.
TEST_F(DecisionDutyTest, Tick_WithStaleView_ProposesNothing) {
  AddCluster(1);
  Add(testing_support::Submit("key", 1));
  replica_.Read();
  AdvanceTime(milliseconds(2'001));
  replica_.Decide();
  replica_.Append();
  EXPECT_EQ(log_.appends(), 0U);
}

// Guards against a second placement while the outcome of the first append is unknown.
TEST_F(DecisionDutyTest, Tick_WhenAppendAnswerIsLost_DoesNotProposeAgain) {
  AddCluster(2);
  Add(testing_support::Submit("key", 1));
  log_.SetAppendFault(Fault::kAnswerLost);
  replica_.Step();
  log_.SetAppendFault(Fault::kNone);
  for (int n = 0; n < 5; ++n) {
    AdvanceTime(milliseconds(300));
    replica_.Step();
  }
  EXPECT_EQ(log_.appends(), 1U);
  EXPECT_EQ(replica_.state().active_jobs().size(), 1U);
}

// Guards against a replica that continues to propose although its state may differ from the others.
TEST_F(DecisionDutyTest, Tick_AfterNewerRecord_ProposesNothingAndReportsItself) {
  AddCluster(1);
  log_.Add(R"({"v":2,"id":"x","type":"unheard_of"})");
  Add(testing_support::Submit("key", 1));
  replica_.Step();
  EXPECT_EQ(log_.appends(), 0U);
  EXPECT_TRUE(AnswerOf<StatusView>(replica_.Ask(StatusGet{})).is_outdated);
  EXPECT_EQ(RefusalCodeOf(replica_.Ask(Submit("other"))), ResultCode::kNewerSchema);
}

// Guards against two operators who both believe that their change is in force.
TEST_F(DecisionDutyTest, Confirm_WhenOperatorsRace_ExactlyOneSucceeds) {
  AddCluster(0);
  replica_.Read();
  other_.Read();
  const auto first = replica_.Ask(Confirm(1, false));
  const auto second = other_.Ask(Confirm(1, true));
  replica_.Append();
  other_.Append();
  replica_.Read();
  other_.Read();
  EXPECT_EQ(AnswerOf<ConfirmedRevision>(first).revision, ConfigRevision(2));
  EXPECT_EQ(RefusalCodeOf(second), ResultCode::kRevisionConflict);
}

// Guards against a plan that takes effect before it is confirmed, or one that is confirmed although
// the configuration has changed since.
TEST_F(DecisionDutyTest, Plan_WhenConfirmedTwice_TakesEffectOnce) {
  AddCluster(1);
  replica_.Read();
  const ConfigPlan request{{SetDataCentre{testing_support::MakeDataCentre(false)}}, "operator"};
  const auto plan_reply = replica_.Ask(request)->TryPop();
  ASSERT_TRUE(plan_reply && std::holds_alternative<PlanView>(*plan_reply));
  const std::string id = std::get<PlanView>(*plan_reply).plan_id;
  EXPECT_EQ(log_.appends(), 0U);
  const auto first = replica_.Ask(PlanConfirmRequest{id});
  replica_.Append();
  replica_.Read();
  EXPECT_EQ(AnswerOf<ConfirmedRevision>(first).revision, ConfigRevision(2));
  EXPECT_EQ(RefusalCodeOf(replica_.Ask(PlanConfirmRequest{id})), ResultCode::kRevisionConflict);
  EXPECT_EQ(RefusalCodeOf(replica_.Ask(PlanConfirmRequest{"9"})), ResultCode::kUnknownReference);
}

// Guards against an answer before the record was read back, or none when the answer is lost.
TEST_F(DecisionDutyTest, Submit_WhenAppendAnswerIsLost_AnswersFromTheStream) {
  AddCluster(1);
  replica_.Read();
  const auto reply = replica_.Ask(Submit("key"));
  log_.SetAppendFault(Fault::kAnswerLost);
  replica_.Append();
  EXPECT_EQ(reply->size(), 0U);
  replica_.Read();
  EXPECT_EQ(AnswerOf<SubmittedJob>(reply).job, JobId(3));
  EXPECT_EQ(AnswerOf<SubmittedJob>(replica_.Ask(Submit("key"))).job, JobId(3));
}

// Guards against "did not run" for a submission whose record may still take effect.
TEST_F(DecisionDutyTest, Submit_WhenOutcomeStaysUnknown_IsAnsweredAsUnknownAtItsDeadline) {
  AddCluster(1);
  replica_.Read();
  const auto reply = replica_.Ask(Submit("key"));
  log_.SetAppendFault(Fault::kRequestLost);
  replica_.Append();
  AdvanceTime(milliseconds(5'000));
  replica_.Decide();
  const auto answer = reply->TryPop();
  ASSERT_TRUE(answer);
  const auto* refusal = std::get_if<Refusal>(&*answer);
  ASSERT_NE(refusal, nullptr);
  EXPECT_EQ(refusal->code, ResultCode::kAppendUnknown);
  EXPECT_EQ(refusal->run_state, RunState::kMayHaveRun);
}

// Guards against a second job when a caller repeats its submission through another scheduler.
TEST_F(DecisionDutyTest, Submit_UnderSameKeyAtTwoReplicas_CreatesOneJob) {
  AddCluster(1);
  replica_.Read();
  other_.Read();
  const auto first = replica_.Ask(Submit("key"));
  const auto second = other_.Ask(Submit("key"));
  replica_.Append();
  other_.Append();
  replica_.Read();
  other_.Read();
  EXPECT_EQ(AnswerOf<SubmittedJob>(first), AnswerOf<SubmittedJob>(second));
}

// Guards against new work being accepted by a process that is draining, and against a drain that
// ends before pending requests are answered.
TEST_F(DecisionDutyTest, Drain_WithPendingSubmission_AnswersItAndRefusesOthers) {
  AddCluster(1);
  replica_.Read();
  const auto reply = replica_.Ask(Submit("key"));
  replica_.Handle(StartDraining{});
  replica_.Decide();
  EXPECT_FALSE(replica_.TakeDrained());
  EXPECT_EQ(RefusalCodeOf(replica_.Ask(Submit("late"))), ResultCode::kDraining);
  replica_.Append();
  replica_.Step();
  EXPECT_EQ(AnswerOf<SubmittedJob>(reply).job, JobId(3));
  EXPECT_TRUE(replica_.TakeDrained());
}

// Guards against a new instance that cannot start after the records expired, or whose state
// differs from that of the replica that wrote the snapshot.
TEST_F(DecisionDutyTest, Follow_FromSnapshot_GivesTheSameState) {
  AddCluster(1);
  for (int n = 0; n < 60; ++n) {
    Add(testing_support::Submit("key-" + std::to_string(n), 1));
  }
  for (int n = 0; n < 4; ++n) {
    replica_.Step();
    AdvanceTime(milliseconds(300));
  }
  log_.ExpireBelow(60);
  for (int n = 0; n < 4; ++n) {
    other_.Read();
  }
  EXPECT_EQ(codec::EncodeStateImage(other_.state().ToImage()),
            codec::EncodeStateImage(replica_.state().ToImage()));
  EXPECT_TRUE(other_.freshness().is_serving());
}

// Guards against a configuration that reverts to an earlier revision when an older snapshot is
// read.
TEST_F(DecisionDutyTest, Follow_OfOlderSnapshot_KeepsTheNewerState) {
  AddCluster(1);
  replica_.Read();
  const auto older = std::make_shared<const StateImage>(replica_.state().ToImage());
  Add(testing_support::SetInService(ConfigRevision(1), false));
  replica_.Read();
  replica_.Handle(
      platform::FollowedBatch{older, {}, LogOffset(3), LogOffset(3), ManualClock::now()});
  EXPECT_EQ(replica_.state().config_revision(), ConfigRevision(2));
}

// Guards against a view that counts as fresh because of a peer's tail although it lacks records.
TEST_F(DecisionDutyTest, PeerFreshness_BeyondReadOffset_IsIgnored) {
  AddCluster(1);
  Add(testing_support::Submit("key", 1));
  replica_.Read();
  AdvanceTime(milliseconds(2'001));
  const LogOffset tail = replica_.freshness().tail;
  replica_.Handle(PeerFreshness{LogOffset(tail.value() + 1), ManualClock::now()});
  replica_.Decide();
  replica_.Append();
  EXPECT_EQ(log_.appends(), 0U);
  replica_.Handle(PeerFreshness{tail, ManualClock::now()});
  replica_.Decide();
  replica_.Append();
  EXPECT_EQ(log_.appends(), 1U);
}

// Guards against a worker that is marked lost because the instance list lags.
TEST_F(DecisionDutyTest, InstanceList_ThatLags_LosesNoWorker) {
  AddCluster(2);
  replica_.Read();
  platform::Instance w0;
  w0.name = "w0";
  w0.address = testing_support::WorkerAddress(0);
  platform::Instance w1;
  w1.name = "w1";
  w1.address = testing_support::WorkerAddress(1);
  const auto publish_list = [&](std::uint64_t version, std::vector<platform::Instance> instances) {
    replica_.Handle(std::make_shared<const platform::InstanceList>(
        platform::InstanceList{version, std::move(instances)}));
    AdvanceTime(milliseconds(300));
    replica_.Step();
    replica_.Read();
  };
  const auto condition = [&](const char* name) {
    return replica_.state().worker(*replica_.state().FindWorker(name)).condition;
  };
  publish_list(2, {w0});
  EXPECT_EQ(condition("w1"), WorkerCondition::kLive) << "no list has named it yet";
  publish_list(5, {w0, w1});
  publish_list(4, {w0});
  EXPECT_EQ(condition("w1"), WorkerCondition::kLive) << "the list was older";
  publish_list(6, {w0});
  EXPECT_EQ(condition("w1"), WorkerCondition::kLost);
}

}  // namespace
}  // namespace clementineloom::scheduler
