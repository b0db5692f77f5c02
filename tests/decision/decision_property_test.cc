#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <cstdlib>
#include <string>
#include <vector>

#include "decision/cluster_driver.h"

namespace clementineloom {
namespace {

using testing_support::ClusterCommand;
using testing_support::ClusterDriver;
using testing_support::CommandKind;

class DecisionPropertyTest : public testing::Test {
 protected:
  // Takes a few seconds in CI; CLEMENTINELOOM_PROPERTY_RUNS sets another number of runs.
  static constexpr const char* kDefaultRuns = "1000";
  static constexpr const char* kSeed = "20260117";

  static void SetUpTestSuite() {
    const char* runs = std::getenv("CLEMENTINELOOM_PROPERTY_RUNS");
    const std::string params =
        std::string("seed=") + kSeed + " max_size=120 max_success=" + (runs ? runs : kDefaultRuns);
    // RapidCheck reads RC_PARAMS once, before the first property; a value that is already set is
    // kept.
    constexpr int kKeepExisting = 0;
    (void)setenv("RC_PARAMS", params.c_str(), kKeepExisting);
  }

  static void Replay(const std::vector<ClusterCommand>& commands) {
    ClusterDriver driver;
    for (const ClusterCommand& it : commands) {
      const auto violation = driver.Run(it);
      ASSERT_FALSE(violation) << *violation << " after " << it;
    }
  }
};

// Guards against any order of events that breaks an invariant of the state or of the guarantees.
TEST_F(DecisionPropertyTest, Run_OfRandomCommands_KeepsInvariants) {
  const bool holds = rc::check("invariants hold after each command",
                               [](const std::vector<ClusterCommand>& commands) {
                                 ClusterDriver driver;
                                 for (const ClusterCommand& it : commands) {
                                   if (const auto violation = driver.Run(it)) {
                                     RC_FAIL(*violation);
                                   }
                                 }
                               });
  EXPECT_TRUE(holds);
}

// Guards against two large jobs that stop each other alternately: jobs placed in the pass that made
// a reservation were treated as backfill.
TEST_F(DecisionPropertyTest, Settle_WithTwoLargeBorrowers_StopsNeither) {
  Replay({{CommandKind::kSubmitRackGang, 0, 3},
          {CommandKind::kSubmitDataCentreGang, 0, 14},
          {CommandKind::kSettle, 0, 0}});
}

// Guards against a shape that stays unbound after another team's guarantee became smaller: the
// search was repeated only when workers came back.
TEST_F(DecisionPropertyTest, Decide_AfterGuaranteeShrinks_ProtectsShapesThatHadNoPlace) {
  Replay({{CommandKind::kLoseWorker, 1, 0},
          {CommandKind::kLoseWorker, 0, 0},
          {CommandKind::kLoseWorker, 11, 0},
          {CommandKind::kDecideOnOtherReplica, 0, 0},
          {CommandKind::kSubmitSmall, 0, 0},
          {CommandKind::kSetTeam, 5, 4},
          {CommandKind::kDecideOnOtherReplica, 0, 0}});
}

// Guards against a borrower that is preempted for a guaranteed job and placed again before it in
// each pass.
TEST_F(DecisionPropertyTest, Settle_WithBorrowerWhoseOwnShapeIsAtRisk_PlacesGuaranteedJobFirst) {
  Replay({{CommandKind::kLoseWorker, 1, 0},
          {CommandKind::kSubmitSmall, 14, 0},
          {CommandKind::kLoseWorker, 2, 0},
          {CommandKind::kLoseWorker, 0, 0},
          {CommandKind::kSubmitSmall, 5, 12},
          {CommandKind::kSubmitSmall, 22, 0},
          {CommandKind::kSubmitSmall, 46, 0},
          {CommandKind::kSettle, 0, 0}});
}

// Guards against capacity counted on a worker that came back in another rack and was lost again
// between two decisions.
TEST_F(DecisionPropertyTest, Decide_AfterWorkerMovesAndIsLost_CountsNoRoomThere) {
  Replay({{CommandKind::kDecideOnOtherReplica, 0, 0},
          {CommandKind::kLoseWorker, 20, 0},
          {CommandKind::kMoveWorker, 52, 0},
          {CommandKind::kLoseWorker, 12, 0},
          {CommandKind::kDataCentreOut, 3, 0},
          {CommandKind::kDecideOnOtherReplica, 0, 0}});
}

// Guards against a search that tries only the best-fitting workers of a rack and misses the
// packing.
TEST_F(DecisionPropertyTest, Decide_WherePackingNeedsLooseFit_FindsIt) {
  Replay({{CommandKind::kSetTeam, 46, 47},
          {CommandKind::kLoseWorker, 3, 0},
          {CommandKind::kLoseWorker, 4, 0},
          {CommandKind::kSubmitSmall, 0, 0},
          {CommandKind::kSetTeam, 21, 20},
          {CommandKind::kDecide, 0, 0}});
}

// Guards against a search that is not repeated after a worker came back in another rack: the total
// capacity was the same, its layout was not.
TEST_F(DecisionPropertyTest, Decide_AfterWorkerMovesRack_SearchesAgain) {
  Replay({{CommandKind::kSetTeam, 59, 0},
          {CommandKind::kSubmitRackGang, 0, 3},
          {CommandKind::kQuarantineWorker, 4, 0},
          {CommandKind::kLeaveWorker, 42, 0},
          {CommandKind::kLoseWorker, 27, 0},
          {CommandKind::kDecide, 0, 0},
          {CommandKind::kMakeWorkerLive, 18, 0},
          {CommandKind::kDecideOnOtherReplica, 0, 0},
          {CommandKind::kMoveWorker, 19, 0},
          {CommandKind::kLoseWorker, 6, 0},
          {CommandKind::kAdvanceTime, 9, 0},
          {CommandKind::kSubmitSmall, 0, 0},
          {CommandKind::kDecide, 0, 0},
          {CommandKind::kLoseWorker, 0, 0},
          {CommandKind::kSubmitSmall, 45, 12},
          {CommandKind::kDecideOnOtherReplica, 0, 0}});
}

}  // namespace
}  // namespace clementineloom
