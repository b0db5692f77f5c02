#include "clementineloom/decision/guarantee_packing.h"

#include "decision/cluster_fixture.h"

namespace clementineloom {
namespace {

class GuaranteePackingTest : public testing_support::ClusterFixture {
 protected:
  std::vector<GuaranteeRisk> Risks() {
    packing_.Follow(state_);
    return packing_.Risks(state_);
  }

  GuaranteePacking packing_;
};

// Guards against a search that gives up although a packing exists.
TEST_F(GuaranteePackingTest, Follow_WithGuaranteesThatFillTheCluster_FindsPlaces) {
  AddDataCentre("a", 2, 6);
  AddTeam("small", {Guarantee(Shape(4), 8)});
  AddTeam("gang", {Guarantee(Shape(8, 2, Adjacency::kRack), 1),
                   Guarantee(Shape(8, 6, Adjacency::kRack), 1)});
  EXPECT_TRUE(Risks().empty());
}

// Guards against a guarantee at risk that is not reported.
TEST_F(GuaranteePackingTest, Follow_AfterWorkersAreLost_NamesTeamAtRisk) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8, 3, Adjacency::kRack), 1)});
  EXPECT_TRUE(Risks().empty());
  SetCondition("a-r0-0", WorkerCondition::kLost);
  EXPECT_TRUE(Risks().empty());
  SetCondition("a-r0-1", WorkerCondition::kLost);
  const auto risks = Risks();
  ASSERT_EQ(risks.size(), 1U);
  EXPECT_EQ(risks.front(), (GuaranteeRisk{"t", 0, Shape(8, 3, Adjacency::kRack), 1}));
}

// Guards against a risk that stays reported after the workers are back.
TEST_F(GuaranteePackingTest, Follow_AfterDataCentreReturns_HasNoRisk) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8, 3, Adjacency::kRack), 1)});
  SetDataCentre("a", false);
  EXPECT_EQ(Risks().size(), 1U);
  SetDataCentre("a", true);
  EXPECT_TRUE(Risks().empty());
}

// Guards against an index that keeps the contents of a previous state after the state is replaced.
TEST_F(GuaranteePackingTest, Follow_OfCopiedState_ReadsTheCopy) {
  AddDataCentre("a", 1, 4);
  AddTeam("t", {Guarantee(Shape(8, 3, Adjacency::kRack), 1)});
  EXPECT_TRUE(Risks().empty());
  const ClusterState before = state_;
  SetDataCentre("a", false);
  EXPECT_EQ(Risks().size(), 1U);
  state_ = before;
  EXPECT_TRUE(Risks().empty());
}

}  // namespace
}  // namespace clementineloom
