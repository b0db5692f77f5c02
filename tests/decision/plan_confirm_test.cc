#include "clementineloom/decision/plan_confirm.h"

#include "decision/plan_fixture.h"

namespace clementineloom {
namespace {

using testing::SizeIs;

class ConfirmPlanTest : public PlanFixture {
 protected:
  [[nodiscard]] PlanConfirmation Confirm(const Plan& plan, const std::string& author) const {
    return ConfirmPlan(state_, plan, engine_, kNow, author);
  }
};

// Guards against a confirmed plan that does not take effect.
TEST_F(ConfirmPlanTest, ConfirmPlan_WhenNothingChanged_GivesRecordThatIsAccepted) {
  const PlanConfirmation answer = Confirm(PlanOf({DataCentreEdit("north", false)}), "alise");
  ASSERT_TRUE(answer.is_accepted());
  EXPECT_EQ(answer.record()->author, "alise");
  EXPECT_TRUE(Apply(*answer.record()).accepted());
  EXPECT_FALSE(state_.IsPlaceable(WorkerId(0)));
}

// Guards against confirming effects that the operator was not shown.
TEST_F(ConfirmPlanTest, ConfirmPlan_WhenJobArrivedSince_IsRefusedWithNewPlanAndDifference) {
  const Plan shown = PlanOf({DataCentreEdit("north", false)});
  const JobId job = Submit(8, 2);
  Settle();
  const PlanConfirmation answer = Confirm(shown, "alise");
  EXPECT_EQ(answer.code(), ResultCode::kPlanChanged);
  EXPECT_FALSE(answer.record());
  ASSERT_THAT(answer.difference().steps, SizeIs(1));
  EXPECT_FALSE(answer.difference().steps[0].shown);
  EXPECT_EQ(answer.difference().steps[0].current->job, job);
  ASSERT_TRUE(answer.current_plan());
  EXPECT_TRUE(Confirm(*answer.current_plan(), "alise").is_accepted());
}

// Guards against two operators who each take a data centre out of service without seeing the
// other's change.
TEST_F(ConfirmPlanTest, ConfirmPlan_OfTwoConcurrentOperators_AppliesOneAndShowsTheOtherTheNewPlan) {
  const JobId job = Submit(8, 2);
  Settle();
  const Plan first = PlanOf({DataCentreEdit("north", false)});
  const Plan second = PlanOf({DataCentreEdit("south", false)});
  const PlanConfirmation first_answer = Confirm(first, "alise");
  const PlanConfirmation second_answer = Confirm(second, "modou");
  ASSERT_TRUE(first_answer.is_accepted() && second_answer.is_accepted());
  EXPECT_EQ(Apply(*first_answer.record()).code(), ResultCode::kOk);
  EXPECT_EQ(Apply(*second_answer.record()).code(), ResultCode::kRevisionConflict);

  const PlanConfirmation conflict = Confirm(second, "modou");
  EXPECT_EQ(conflict.code(), ResultCode::kRevisionConflict);
  ASSERT_TRUE(conflict.current_plan());
  EXPECT_EQ(conflict.current_plan()->base_revision(), state_.config_revision());
  ASSERT_THAT(conflict.difference().steps, SizeIs(1));
  EXPECT_FALSE(conflict.difference().steps[0].shown);
  EXPECT_EQ(conflict.difference().steps[0].current->job, job);
  EXPECT_EQ(conflict.difference().steps[0].current->action, PlanAction::kWait);
}

// Guards against an error code that hides the concurrent change of another operator.
TEST_F(ConfirmPlanTest, ConfirmPlan_WhenOtherDeletedTheSameTeam_ReportsConflictAndUnknownTeam) {
  Change({TeamEdit("old", true)});
  const Plan shown = PlanOf({DeleteTeam{"old"}});
  Change({DeleteTeam{"old"}});
  const PlanConfirmation answer = Confirm(shown, "modou");
  EXPECT_EQ(answer.code(), ResultCode::kRevisionConflict);
  EXPECT_EQ(answer.edits_code(), ResultCode::kUnknownTeam);
  EXPECT_FALSE(answer.current_plan());
  EXPECT_FALSE(answer.record());
}

// Guards against deleting a team that got a job between plan and confirmation.
TEST_F(ConfirmPlanTest, ConfirmPlan_WhenTeamGotJobSince_IsRefusedAsInUse) {
  const Plan shown = PlanOf({DeleteTeam{"ops"}});
  (void)Submit(8, 1);
  EXPECT_EQ(Confirm(shown, "alise").code(), ResultCode::kTeamInUse);
}

}  // namespace
}  // namespace clementineloom
