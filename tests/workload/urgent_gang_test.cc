#include <gtest/gtest.h>

#include "workload/planner_test.h"

namespace clementineloom::workload {
namespace {

class UrgentGangTest : public PlannerTest {
 protected:
  static constexpr std::int64_t kAcceptedAtMs = 90'000;
  // Before and after the time for which a guaranteed gang waits for a rack to be cleared.
  static constexpr std::int64_t kEarlyMs = kAcceptedAtMs + 1'000;
  static constexpr std::int64_t kLateMs = kAcceptedAtMs + 2'000;

  // Fills three workers on two racks with less urgent work.
  void FillWithBulk() {
    AddWorker("w1", "r1");
    AddWorker("w2", "r2");
    AddWorker("w3", "r2");
    Submit("bulk", Step(3, 8), 2);
    ApplyStarts(Plan());
  }
  void SubmitGang(std::uint32_t tasks, bool prefers_one_rack) {
    StepSpec gang = Step(tasks, 8);
    gang.is_gang = true;
    gang.prefers_one_rack = prefers_one_rack;
    Submit("gang", gang, 0, kAcceptedAtMs, "team");
  }
};

// Guards against a gang within its guarantee for which nothing is ever stopped, because no single
// rack can hold it.
TEST_F(UrgentGangTest, GuaranteedGang_LargerThanAnyRack_IsGivenRoomOnSeveralAfterItsWait) {
  FillWithBulk();
  teams_ = {{"team", {}, 24}};
  SubmitGang(3, true);
  EXPECT_TRUE(Plan(kEarlyMs).preemptions.empty());
  const StartPlan plan = Plan(kLateMs);
  EXPECT_EQ(plan.preemptions.size(), 3U);
  for (const Preemption& it : plan.preemptions) {
    workers_[it.worker].Remove(it.run);
  }
  claims_ = plan.claims;
  EXPECT_EQ(Plan(kLateMs).starts.size(), 3U);
}

// Guards against clearing room on one rack after it is already being cleared on several.
TEST_F(UrgentGangTest, GuaranteedGang_WithRoomBeingClearedOnSeveralRacks_KeepsItWhenOneSuffices) {
  FillWithBulk();
  teams_ = {{"team", {}, 16}};
  workers_["w3"].usable_from = SteadyTime::max();
  SubmitGang(2, true);
  const StartPlan first = Plan(kLateMs);
  ASSERT_EQ(first.preemptions.size(), 2U);
  BeginStops(first);
  claims_ = first.claims;
  workers_["w3"].usable_from = {};
  EXPECT_TRUE(Plan(kLateMs).preemptions.empty());
}

// Guards against losing work for a gang that has no guarantee and would run much slower over
// several racks.
TEST_F(UrgentGangTest, Gang_BeyondItsGuarantee_IsGivenRoomOnOneRackOnly) {
  FillWithBulk();
  SubmitGang(3, true);
  EXPECT_TRUE(Plan(kLateMs).preemptions.empty());
}

// Guards against losing work to make room for part of a gang, which cannot start.
TEST_F(UrgentGangTest, Gang_ThatCannotBeWhole_StopsNothing) {
  FillWithBulk();
  SubmitGang(4, false);
  EXPECT_TRUE(Plan(kLateMs).preemptions.empty());
}

// Guards against other work that stands still beside room claimed for a gang that cannot start,
// because the advice service approves fewer workers than it has members.
TEST_F(UrgentGangTest, Gang_ApprovedOnTooFewWorkers_ClaimsNoRoom) {
  AddWorker("w1", "r1");
  AddWorker("w2", "r2", "b");
  StepSpec gang = Step(2, 8);
  gang.is_gang = true;
  JobSubmission submission;
  submission.id = "gang";
  submission.queue.service = "inspect";
  submission.queue.needs_advice = true;
  submission.accepted_at_ms = kAcceptedAtMs;
  submission.steps = {gang};
  jobs_.Apply(SubmissionSet{"gang", submission});
  advice_.NoteAsked({"gang", 0, 0}, {"w1", "w2"});
  advice_.Add({"gang", 0, 0}, {{"w1", "ticket", now_ + Milliseconds(60'000)}});
  StepSpec bulk = Step(1, 8);
  bulk.required_label = "a";
  Submit("bulk", bulk, 2, kAcceptedAtMs);
  const StartPlan plan = Plan(kLateMs);
  EXPECT_TRUE(plan.claims.empty());
  ASSERT_EQ(plan.starts.size(), 1U);
  EXPECT_EQ(plan.starts.front().worker, "w1");
}

}  // namespace
}  // namespace clementineloom::workload
