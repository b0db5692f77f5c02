#include "clementineloom/decision/plan_explain.h"

#include "decision/plan_fixture.h"

namespace clementineloom {
namespace {

using testing::HasSubstr;

class ExplainTest : public PlanFixture {};

// Guards against an explanation of a job that does not exist.
TEST_F(ExplainTest, Explain_OfUnknownJob_IsUnknownJob) {
  EXPECT_EQ(Explain(state_, JobId(999)).cause, PlanWaitCause::kUnknownJob);
}

// Guards against a running job that is reported as waiting.
TEST_F(ExplainTest, Explain_OfRunningJob_IsNotWaiting) {
  const JobId job = Submit(8, 1);
  Settle();
  EXPECT_EQ(Explain(state_, job).cause, PlanWaitCause::kNotWaiting);
}

// Guards against a job that can never run being reported as waiting for capacity.
TEST_F(ExplainTest, Explain_OfShapeLargerThanAnyRack_IsNeverFits) {
  const JobExplanation answer = Explain(state_, Submit(8, 3));
  EXPECT_EQ(answer.cause, PlanWaitCause::kNeverFits);
  EXPECT_EQ(answer.sentence,
            "The job needs 3 workers of one rack with 8 accelerators each, and at most 2 exist.");
}

// Guards against capacity that is temporarily out of service being reported as missing.
TEST_F(ExplainTest, Explain_WhenBothDataCentresAreOut_IsOutOfService) {
  const JobId job = Submit(8, 1);
  Change({DataCentreEdit("north", false), DataCentreEdit("south", false)});
  EXPECT_EQ(Explain(state_, job).cause, PlanWaitCause::kOutOfService);
}

// Guards against lack of free capacity being attributed to guarantees.
TEST_F(ExplainTest, Explain_WhenAllAcceleratorsAreTaken_IsNoRoom) {
  (void)Submit(8, 2);
  (void)Submit(8, 2);
  Settle();
  const JobExplanation answer = Explain(state_, Submit(8, 2));
  EXPECT_EQ(answer.cause, PlanWaitCause::kNoRoom);
  EXPECT_THAT(answer.sentence, HasSubstr("at most 0 are free"));
}

// Guards against a team not being told that its guarantee is being reclaimed.
TEST_F(ExplainTest, Explain_WhenBorrowersHoldTheGuarantee_IsReclaim) {
  (void)Submit(8, 2);
  (void)Submit(8, 2);
  Settle();
  EXPECT_EQ(Explain(state_, Submit(8, 1)).cause, PlanWaitCause::kReclaim);
}

// Guards against missing the reason why free accelerators are not given to a waiting job.
TEST_F(ExplainTest, Explain_WhenRoomIsFreeButNotGiven_IsRoomKept) {
  EXPECT_EQ(Explain(state_, Submit(8, 2)).cause, PlanWaitCause::kRoomKept);
}

// Guards against a wrong cause when accelerators are free but the team may not borrow.
TEST_F(ExplainTest, Explain_WhenTeamMayNotBorrowAndNoGuaranteeFits_IsGuaranteeInUse) {
  Change({TeamEdit("ops", false)});
  const JobExplanation answer = Explain(state_, Submit(8, 2));
  EXPECT_EQ(answer.cause, PlanWaitCause::kGuaranteeInUse);
  EXPECT_THAT(answer.sentence, HasSubstr("no guarantee of its team fits"));
}

}  // namespace
}  // namespace clementineloom
