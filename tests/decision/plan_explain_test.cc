#include "clementineloom/decision/plan_explain.h"

#include "decision/plan_fixture.h"

namespace clementineloom {
namespace {

using testing::HasSubstr;

class ExplainTest : public PlanFixture {};

// Guards against an answer about a job that was never submitted here.
TEST_F(ExplainTest, Explain_OfUnknownJob_SaysSo) {
  EXPECT_EQ(Explain(state_, JobId(999)).cause, PlanWaitCause::kUnknownJob);
}

// Guards against a running job that is said to wait.
TEST_F(ExplainTest, Explain_OfRunningJob_IsNotWaiting) {
  const JobId job = Submit(8, 1);
  Settle();
  EXPECT_EQ(Explain(state_, job).cause, PlanWaitCause::kNotWaiting);
}

// Guards against a caller who waits for a job that can never run.
TEST_F(ExplainTest, Explain_OfShapeLargerThanAnyRack_IsNeverFits) {
  const JobExplanation answer = Explain(state_, Submit(8, 3));
  EXPECT_EQ(answer.cause, PlanWaitCause::kNeverFits);
  EXPECT_EQ(answer.sentence,
            "The job needs 3 workers of one rack with 8 accelerators each, and at most 2 exist.");
}

// Guards against capacity that is away for a while and is taken for lack of capacity.
TEST_F(ExplainTest, Explain_WhenBothDataCentresAreOut_IsOutOfService) {
  const JobId job = Submit(8, 1);
  Change({DataCentreEdit("north", false), DataCentreEdit("south", false)});
  EXPECT_EQ(Explain(state_, job).cause, PlanWaitCause::kOutOfService);
}

// Guards against a wait for room that is blamed on guarantees.
TEST_F(ExplainTest, Explain_WhenAllAcceleratorsAreTaken_IsNoRoom) {
  (void)Submit(8, 2);
  (void)Submit(8, 2);
  Settle();
  const JobExplanation answer = Explain(state_, Submit(8, 2));
  EXPECT_EQ(answer.cause, PlanWaitCause::kNoRoom);
  EXPECT_THAT(answer.sentence, HasSubstr("at most 0 are free"));
}

// Guards against an owner who is not told that its guarantee is on its way back.
TEST_F(ExplainTest, Explain_WhenBorrowersHoldTheGuarantee_IsReclaim) {
  (void)Submit(8, 2);
  (void)Submit(8, 2);
  Settle();
  EXPECT_EQ(Explain(state_, Submit(8, 1)).cause, PlanWaitCause::kReclaim);
}

// Guards against free accelerators that seem to be wasted.
TEST_F(ExplainTest, Explain_WhenRoomIsFreeButNotGiven_IsRoomKept) {
  EXPECT_EQ(Explain(state_, Submit(8, 2)).cause, PlanWaitCause::kRoomKept);
}

// Guards against a team without the right to borrow that waits for free accelerators.
TEST_F(ExplainTest, Explain_WhenTeamMayNotBorrowAndNoGuaranteeFits_IsGuaranteeInUse) {
  Change({TeamEdit("ops", false)});
  const JobExplanation answer = Explain(state_, Submit(8, 2));
  EXPECT_EQ(answer.cause, PlanWaitCause::kGuaranteeInUse);
  EXPECT_THAT(answer.sentence, HasSubstr("no guarantee of its team fits"));
}

}  // namespace
}  // namespace clementineloom
