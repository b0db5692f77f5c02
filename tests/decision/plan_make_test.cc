#include "clementineloom/decision/plan_make.h"

#include "decision/plan_fixture.h"

namespace clementineloom {
namespace {

using testing::ElementsAre;
using testing::HasSubstr;

class MakePlanTest : public PlanFixture {};

// An engine that reports one risk, and expects every job to run for kRunTime.
class ForecastingEngine : public PlanTestEngine {
 public:
  static constexpr Duration kRunTime = std::chrono::minutes(7);

  struct Estimates {
    [[nodiscard]] static Duration Quantile(const JobSpec& /*spec*/, double /*quantile*/) {
      return kRunTime;
    }
  };

  explicit ForecastingEngine(GuaranteeRisk risk) : risk_(std::move(risk)) {}

  [[nodiscard]] std::vector<GuaranteeRisk> Risks(const ClusterState& /*state*/) const {
    return {risk_};
  }
  [[nodiscard]] Estimates estimates() const { return {}; }

 private:
  GuaranteeRisk risk_;
};

// Guards against a plan that omits a move or reports a wrong reason for it.
TEST_F(MakePlanTest, MakePlan_DataCentreOutWithRoomElsewhere_MovesItsJobs) {
  const JobId job = Submit(8, 2);
  Settle();
  const Plan plan = PlanOf({DataCentreEdit("north", false)});
  const PlanStep* step = plan.FindStep(job);
  ASSERT_NE(step, nullptr);
  EXPECT_EQ(step->action, PlanAction::kMove);
  EXPECT_THAT(step->workers, ElementsAre("south1", "south2"));
  EXPECT_THAT(step->reason, HasSubstr("its data centre is out of service"));
}

// Guards against edits that take effect before they are confirmed.
TEST_F(MakePlanTest, MakePlan_OfAnyIntent_LeavesStateUnchanged) {
  const JobId job = Submit(8, 2);
  Settle();
  const LogOffset offset = state_.applied_offset();
  (void)PlanOf({DataCentreEdit("north", false)});
  EXPECT_EQ(state_.applied_offset(), offset);
  EXPECT_EQ(state_.FindJob(job)->phase, JobPhase::kRunning);
  EXPECT_TRUE(state_.data_centre(DataCentreId(0)).data_centre.in_service());
}

// Guards against a plan that omits a job that loses its workers.
TEST_F(MakePlanTest, MakePlan_DataCentreOutWithoutRoomElsewhere_SaysWhichJobsWait) {
  const JobId first = Submit(8, 2);
  const JobId second = Submit(8, 2);
  Settle();
  const Plan plan = PlanOf({DataCentreEdit("north", false)});
  ASSERT_NE(plan.FindStep(first), nullptr);
  EXPECT_EQ(plan.FindStep(first)->action, PlanAction::kWait);
  EXPECT_THAT(plan.FindStep(first)->reason, HasSubstr("loses its workers"));
  EXPECT_EQ(plan.FindStep(second), nullptr);
}

// Guards against a plan that omits the jobs that start when a data centre returns to service.
TEST_F(MakePlanTest, MakePlan_DataCentreIn_StartsWaitingJobs) {
  Change({DataCentreEdit("south", false)});
  (void)Submit(8, 2);
  const JobId waiting = Submit(8, 2);
  Settle();
  const Plan plan = PlanOf({DataCentreEdit("south", true)});
  ASSERT_NE(plan.FindStep(waiting), nullptr);
  EXPECT_EQ(plan.FindStep(waiting)->action, PlanAction::kStart);
  EXPECT_THAT(plan.FindStep(waiting)->workers, ElementsAre("south1", "south2"));
}

// Guards against a job that can never run being shown as waiting.
TEST_F(MakePlanTest, MakePlan_WithJobThatNeverFits_RefusesIt) {
  const JobId job = Submit(8, PlanTestEngine::kWorkersPerRack + 1);
  const Plan plan = PlanOf({TeamEdit("new", true)});
  ASSERT_NE(plan.FindStep(job), nullptr);
  EXPECT_EQ(plan.FindStep(job)->action, PlanAction::kRefuse);
}

// Guards against a plan for edits that the state would void.
TEST_F(MakePlanTest, MakePlan_OfImpossibleEdits_IsRefusedWithTheCodeOfTheEdit) {
  (void)Submit(8, 1);
  const auto in_use = PlanRefusal({DeleteTeam{"ops"}});
  const auto unknown = PlanRefusal({DeleteTeam{"nobody"}});
  ASSERT_TRUE(in_use && unknown);
  EXPECT_EQ(in_use->code, ResultCode::kTeamInUse);
  EXPECT_EQ(unknown->code, ResultCode::kUnknownTeam);
}

// Guards against a plan that omits risks and expected completions reported by the engine.
TEST_F(MakePlanTest, MakePlan_WithEngineThatForecasts_NamesRisksAndExpectedCompletion) {
  const JobId job = Submit(8, 1);
  const GuaranteeRisk risk{.team = "ops", .guarantee_index = 0, .shape = Shape(8, 1), .shapes = 1};
  const ForecastingEngine engine(risk);
  const Plan plan = testing_support::ValueOrDie(
      [&] { return MakePlan(state_, {DataCentreEdit("north", false)}, engine, kNow); });
  EXPECT_THAT(plan.risks(), ElementsAre(risk));
  ASSERT_NE(plan.FindStep(job), nullptr);
  EXPECT_EQ(plan.FindStep(job)->expected_completion, kNow + ForecastingEngine::kRunTime);
}

// Guards against different plans for the same state and edits.
TEST_F(MakePlanTest, MakePlan_Twice_GivesEqualPlans) {
  (void)Submit(8, 2);
  (void)Submit(4, 1);
  Settle();
  (void)Submit(8, 2);
  const std::vector<ConfigEdit> edits = {DataCentreEdit("south", false), TeamEdit("new", false)};
  EXPECT_EQ(PlanOf(edits), PlanOf(edits));
}

}  // namespace
}  // namespace clementineloom
