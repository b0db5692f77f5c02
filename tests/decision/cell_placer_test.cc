#include "clementineloom/decision/cell_placer.h"

#include <algorithm>

#include "clementineloom/decision/placer.h"
#include "decision/cluster_fixture.h"

namespace clementineloom {
namespace {

static_assert(Placer<CellPlacer>);

class CellPlacerTest : public testing_support::ClusterFixture {
 protected:
  std::optional<Placement> Place(JobId job) { return placer_.Place(state_, job, Instant()); }

  /// Places a job, applies the placement and returns its kind.
  CapacityKind PlaceAndApply(JobId job) {
    const auto placement = Place(job);
    EXPECT_TRUE(placement);
    EXPECT_EQ(Apply(*placement), ResultCode::kOk);
    return placement->kind();
  }

  using ClusterRecorder::Apply;

  CellPlacer placer_;
};

// Guards against a guaranteed job that is placed on capacity that another team can reclaim.
TEST_F(CellPlacerTest, Place_WithIdleCell_IsGuaranteed) {
  AddDataCentre("a", 2, 6);
  AddTeam("t", {Guarantee(Shape(8, 4, Adjacency::kRack), 1)});
  EXPECT_EQ(PlaceAndApply(Submit("t", Shape(8, 4, Adjacency::kRack))), CapacityKind::kGuaranteed);
}

// Guards against a team that gets the capacity of its guarantee twice.
TEST_F(CellPlacerTest, Place_WithCellInUse_IsBorrowed) {
  AddDataCentre("a", 2, 6);
  AddTeam("t", {Guarantee(Shape(8, 4, Adjacency::kRack), 1)});
  PlaceAndApply(Submit("t", Shape(8, 4, Adjacency::kRack)));
  EXPECT_EQ(PlaceAndApply(Submit("t", Shape(8, 4, Adjacency::kRack))), CapacityKind::kBorrowed);
}

// Guards against small jobs that use up a whole cell each.
TEST_F(CellPlacerTest, Place_OfSmallJobs_SharesOneCell) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8), 1)});
  for (int n = 0; n < 4; ++n) {
    EXPECT_EQ(PlaceAndApply(Submit("t", Shape(2))), CapacityKind::kGuaranteed);
  }
  EXPECT_EQ(PlaceAndApply(Submit("t", Shape(2))), CapacityKind::kBorrowed);
}

// Guards against borrowing by a team without the right to borrow.
TEST_F(CellPlacerTest, Place_OfTeamThatMayNotBorrow_BeyondGuarantee_ReturnsNothing) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8), 1)}, false);
  PlaceAndApply(Submit("t", Shape(8)));
  EXPECT_FALSE(Place(Submit("t", Shape(8))));
}

// Guards against borrowed jobs on the workers of idle cells while other capacity is free.
TEST_F(CellPlacerTest, Place_OfBorrower_AvoidsRackOfIdleCell) {
  AddDataCentre("a", 2, 4);
  AddTeam("owner", {Guarantee(Shape(8, 4, Adjacency::kRack), 1)});
  AddTeam("t", {Guarantee(Shape(1), 1)});
  PlaceAndApply(Submit("t", Shape(1)));
  EXPECT_EQ(PlaceAndApply(Submit("t", Shape(8, 3, Adjacency::kRack))), CapacityKind::kBorrowed);
  EXPECT_EQ(PlaceAndApply(Submit("owner", Shape(8, 4, Adjacency::kRack))),
            CapacityKind::kGuaranteed);
}

// Guards against small guaranteed jobs that fragment the last rack in which another team's gang
// fits.
TEST_F(CellPlacerTest, Place_OfSmallGuaranteedJobs_LeavesRackForOtherTeam) {
  AddDataCentre("a", 2, 4);
  AddTeam("owner", {Guarantee(Shape(8, 4, Adjacency::kRack), 1)});
  AddTeam("t", {Guarantee(Shape(4), 8)});
  for (int n = 0; n < 8; ++n) {
    EXPECT_EQ(PlaceAndApply(Submit("t", Shape(4))), CapacityKind::kGuaranteed);
  }
  EXPECT_EQ(PlaceAndApply(Submit("owner", Shape(8, 4, Adjacency::kRack))),
            CapacityKind::kGuaranteed);
}

// Guards against a cell that stays incomplete after a small job used a part of it.
TEST_F(CellPlacerTest, Place_AfterSmallJobInGangCellEnds_PlacesWholeGang) {
  AddDataCentre("a", 1, 4);
  AddTeam("gang", {Guarantee(Shape(8, 2, Adjacency::kRack), 1)});
  AddTeam("small", {Guarantee(Shape(4), 4)});
  const JobId part = Submit("gang", Shape(4));
  PlaceAndApply(part);
  for (int n = 0; n < 4; ++n) {
    EXPECT_EQ(PlaceAndApply(Submit("small", Shape(4))), CapacityKind::kGuaranteed);
  }
  Finish(part);
  EXPECT_EQ(PlaceAndApply(Submit("gang", Shape(8, 2, Adjacency::kRack))),
            CapacityKind::kGuaranteed);
}

// Guards against unnecessary victims, and against the preemption of guaranteed jobs.
TEST_F(CellPlacerTest, PlanReclaim_WithBorrowersInCell_StopsCheapestOnly) {
  AddDataCentre("a", 2, 2);
  AddTeam("owner", {Guarantee(Shape(8, 2, Adjacency::kRack), 1)});
  AddTeam("t", {Guarantee(Shape(1), 1)});
  const JobId kept = Submit("t", Shape(1));
  EXPECT_EQ(PlaceAndApply(kept), CapacityKind::kGuaranteed);
  std::vector<JobId> borrowers;
  for (int n = 0; n < 3; ++n) {
    borrowers.push_back(Submit("t", Shape(8)));
    EXPECT_EQ(PlaceAndApply(borrowers.back()), CapacityKind::kBorrowed);
  }
  const JobId gang = Submit("owner", Shape(8, 2, Adjacency::kRack));
  EXPECT_FALSE(Place(gang));
  const auto plan = placer_.PlanReclaim(state_, gang);
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->victims.size(), 2U);
  EXPECT_EQ(std::ranges::count(plan->victims, kept), 0);
}

// Guards against two victims where a single one of lower cost frees enough accelerators.
TEST_F(CellPlacerTest, PlanReclaim_OnOneWorker_ChoosesCheapestSet) {
  AddDataCentre("a", 1, 1);
  AddTeam("t", {Guarantee(Shape(1), 1)});
  std::vector<JobId> borrowers;
  borrowers.reserve(3);
  for (const std::uint16_t accelerators : {2, 2, 3}) {
    borrowers.push_back(Submit("t", Shape(accelerators)));
    EXPECT_EQ(PlaceAndApply(borrowers.back()), CapacityKind::kBorrowed);
  }
  AddTeam("owner", {Guarantee(Shape(4), 1)});
  const JobId job = Submit("owner", Shape(4));
  EXPECT_FALSE(Place(job));
  const auto plan = placer_.PlanReclaim(state_, job);
  ASSERT_TRUE(plan);
  EXPECT_EQ(plan->victims, std::vector{borrowers.back()});
}

// Guards against a second set of victims while the first is still stopping.
TEST_F(CellPlacerTest, PlanReclaim_WhileVictimsStop_ChoosesNoOthers) {
  AddDataCentre("a", 3, 2);
  AddTeam("owner", {Guarantee(Shape(8, 2, Adjacency::kRack), 1)});
  AddTeam("t", {Guarantee(Shape(1), 1)});
  for (int n = 0; n < 6; ++n) {
    PlaceAndApply(Submit("t", Shape(8)));
  }
  const JobId gang = Submit("owner", Shape(8, 2, Adjacency::kRack));
  EXPECT_FALSE(Place(gang));
  const auto first = placer_.PlanReclaim(state_, gang);
  ASSERT_TRUE(first);
  for (const JobId it : first->victims) {
    (void)Apply(StopRequested{it, 1, StopReason::kReclaim, std::nullopt});
  }
  EXPECT_FALSE(Place(gang));
  const auto second = placer_.PlanReclaim(state_, gang);
  ASSERT_TRUE(second);
  EXPECT_TRUE(second->victims.empty());
  for (const JobId it : first->victims) {
    AcknowledgeStop(it);
  }
  EXPECT_EQ(PlaceAndApply(gang), CapacityKind::kGuaranteed);
}

}  // namespace
}  // namespace clementineloom
