#include "support/reclaim_check.h"

#include <gtest/gtest.h>

#include <string>
#include <utility>
#include <vector>

#include "support/checked.h"
#include "support/fragmentation.h"

namespace clementineloom::bench {
namespace {

/// Workers 0 and 1 in one rack, 2 and 3 in another, with 8 accelerators each; team "a" is
/// guaranteed 2 workers of a rack, team "b" 2 single workers.
class ReclaimCheckTest : public testing::Test {
 protected:
  ReclaimCheckTest() {
    const DataCentre data_centre = Checked(
        [] { return DataCentre::Create({.name = "d", .region = "r", .in_service = true}); });
    (void)Apply(ConfigChanged{ConfigRevision(),
                              {SetDataCentre{data_centre}, TeamEdit("a", Guarantee(Shape(8, 2), 1)),
                               TeamEdit("b", Guarantee(Shape(8, 1), 2))},
                              "t"});
    for (const std::string name : {"w0", "w1", "w2", "w3"}) {
      const std::string rack = name < "w2" ? "r0" : "r1";
      Worker::Fields fields{
          .name = name, .address = "127.0.0.1:1", .data_centre = "d", .rack = rack};
      (void)Apply(WorkerRegistered{Checked([&] { return Worker::Create(fields); })});
    }
  }

  static GangShape Shape(std::uint16_t accelerators, std::uint16_t workers) {
    const Adjacency adjacency = workers == 1 ? Adjacency::kWorker : Adjacency::kRack;
    return Checked([&] {
      return GangShape::Create(
          {.accelerators_per_worker = accelerators, .workers = workers, .adjacency = adjacency});
    });
  }

  static ConfigEdit TeamEdit(const std::string& name, const Guarantee& guarantee) {
    Team::Fields fields{.name = name, .guarantees = {guarantee}};
    return SetTeam{Checked([&] { return Team::Create(fields); })};
  }

  ApplyOutcome Apply(RecordBody body) {
    const LogOffset offset(state_.applied_offset().value() + 1);
    return state_.Apply(offset, Record{"t" + std::to_string(offset.value()), std::move(body)});
  }

  JobId Submit(const std::string& team, std::uint16_t accelerators) {
    JobSpec::Fields fields{.team = team,
                           .job_class = "c",
                           .shape = Shape(accelerators, 1),
                           .priority = JobPriority::kNormal,
                           .declared_run_time = Duration(0),
                           .command = ""};
    const JobSpec spec = Checked([&] { return JobSpec::Create(fields); });
    return Apply(JobSubmitted{"k" + std::to_string(state_.applied_offset().value()), spec, {}})
        .job();
  }

  void Place(const std::string& team, std::uint32_t worker, std::uint16_t accelerators,
             CapacityKind kind, std::uint16_t instance) {
    Placement placement({.job = Submit(team, accelerators),
                         .attempt = 1,
                         .kind = kind,
                         .guarantee_index = 0,
                         .guarantee_instance = instance,
                         .allocations = {Allocation(WorkerId(worker), accelerators)}});
    const ApplyOutcome outcome = Apply(JobsPlaced{state_.applied_offset(), {std::move(placement)}});
    ASSERT_EQ(outcome.placement_codes(), std::vector{ResultCode::kOk});
  }

  [[nodiscard]] PackingResult Check(GuaranteeAccounting accounting) const {
    return ReclaimCheck(accounting).Check(state_);
  }

  ClusterState state_;
};

// Guards against a check that treats borrowed work as not reclaimable.
TEST_F(ReclaimCheckTest, Check_WithBorrowersEverywhere_Fits) {
  for (std::uint32_t worker = 0; worker < 4; ++worker) {
    Place("a", worker, 8, CapacityKind::kBorrowed, 0);
  }
  EXPECT_EQ(Check(GuaranteeAccounting::kCells), PackingResult::kFits);
}

// Guards against a check that ignores guaranteed work which blocks another team's guarantee.
TEST_F(ReclaimCheckTest, Check_WithGuaranteedWorkInBothRacks_DoesNotFit) {
  Place("b", 0, 4, CapacityKind::kGuaranteed, 0);
  EXPECT_EQ(Check(GuaranteeAccounting::kCells), PackingResult::kFits);
  Place("b", 2, 4, CapacityKind::kGuaranteed, 1);
  EXPECT_EQ(Check(GuaranteeAccounting::kCells), PackingResult::kDoesNotFit);
}

// Guards against a check that places the unused part of a cell outside the domain of its used part.
TEST_F(ReclaimCheckTest, Check_WithOtherTeamBesidePartOfCell_DoesNotFit) {
  Place("a", 0, 4, CapacityKind::kGuaranteed, 0);
  EXPECT_EQ(Check(GuaranteeAccounting::kCells), PackingResult::kFits);
  Place("b", 1, 4, CapacityKind::kGuaranteed, 0);
  EXPECT_EQ(Check(GuaranteeAccounting::kCells), PackingResult::kDoesNotFit);
}

// Guards against a check that treats a counted quota as equivalent to guaranteed shapes.
TEST_F(ReclaimCheckTest, Check_WithQuotaUsedInBothRacks_DoesNotFit) {
  Place("b", 0, 8, CapacityKind::kBorrowed, 0);
  EXPECT_EQ(Check(GuaranteeAccounting::kCountedQuota), PackingResult::kFits);
  Place("b", 2, 8, CapacityKind::kBorrowed, 0);
  EXPECT_EQ(Check(GuaranteeAccounting::kCountedQuota), PackingResult::kDoesNotFit);
}

// Guards against lost capacity that is attributed to the policy.
TEST_F(ReclaimCheckTest, Check_WhenShapesDoNotFitEvenAnEmptyCluster_CountsAsFits) {
  (void)Apply(WorkerConditionChanged{"w3", WorkerCondition::kLost, "t"});
  EXPECT_EQ(Check(GuaranteeAccounting::kCells), PackingResult::kFits);
}

// Guards against accelerators counted as usable although no whole gang fits.
TEST_F(ReclaimCheckTest, UsableAccelerators_OnPartlyTakenWorkers_CountsWholeGangsOnly) {
  Place("b", 0, 4, CapacityKind::kBorrowed, 0);
  const FreeMap free = FreeMap::OfState(state_);
  EXPECT_EQ(free.total(), 28);
  EXPECT_EQ(UsableAccelerators(free, Shape(8, 2)), 16);
  EXPECT_EQ(UsableAccelerators(free, Shape(4, 1)), 28);
  EXPECT_EQ(FragmentedAccelerators(free, Shape(8, 2)), 4);
  EXPECT_EQ(LargestPlaceableGang(free, 8), 16);
}

}  // namespace
}  // namespace clementineloom::bench
