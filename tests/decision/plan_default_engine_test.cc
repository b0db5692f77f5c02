#include <chrono>

#include "clementineloom/decision/default_decision_engine.h"
#include "clementineloom/decision/plan_confirm.h"
#include "decision/plan_fixture.h"

namespace clementineloom {
namespace {

static_assert(RiskReporter<DefaultDecisionEngine>);
static_assert(RunTimeForecaster<DefaultDecisionEngine>);

/// Plans made with DefaultDecisionEngine, which the scheduler runs.
class PlanWithDefaultEngineTest : public PlanFixture {
 protected:
  [[nodiscard]] Plan PlanWithDefault(const std::vector<ConfigEdit>& edits) const {
    return testing_support::ValueOrDie(
        [&] { return MakePlan(state_, edits, default_engine_, kNow); });
  }

  DefaultDecisionEngine default_engine_;
};

// Guards against a plan that does not report a guarantee it puts at risk.
TEST_F(PlanWithDefaultEngineTest, MakePlan_WithoutAnyDataCentre_NamesTheGuaranteeAtRisk) {
  const Plan plan =
      PlanWithDefault({DataCentreEdit("north", false), DataCentreEdit("south", false)});
  const GuaranteeRisk risk{.team = "ops", .guarantee_index = 0, .shape = Shape(8, 1), .shapes = 1};
  EXPECT_THAT(plan.risks(), testing::ElementsAre(risk));
  EXPECT_TRUE(PlanWithDefault({DataCentreEdit("north", false)}).risks().empty());
}

// Guards against a plan that omits a job in a data centre taken out of service.
TEST_F(PlanWithDefaultEngineTest, MakePlan_DataCentreOut_HasStepForEveryJobInIt) {
  for (int n = 0; n < 4; ++n) {
    (void)Submit(8, 1);
  }
  Settle();
  const Plan plan = PlanWithDefault({DataCentreEdit("north", false)});
  EXPECT_TRUE(plan.is_complete());
  for (const std::uint32_t worker : {0, 1}) {
    ASSERT_THAT(state_.worker(WorkerId(worker)).jobs, testing::SizeIs(1));
    EXPECT_NE(plan.FindStep(state_.worker(WorkerId(worker)).jobs.front()), nullptr);
  }
}

// Guards against a dry run that changes later decisions of the engine.
TEST_F(PlanWithDefaultEngineTest, MakePlan_BeforeDecide_DoesNotChangeTheDecision) {
  (void)Submit(8, 2);
  (void)Submit(4, 1);
  DefaultDecisionEngine untouched(default_engine_);
  (void)PlanWithDefault({DataCentreEdit("south", false)});
  EXPECT_EQ(default_engine_.Decide(state_, kNow), untouched.Decide(state_, kNow));
}

}  // namespace
}  // namespace clementineloom
