#include "codec/state_image_codec.h"

#include "clementineloom/state/cluster_state.h"
#include "decision/cluster_fixture.h"

namespace clementineloom::codec {
namespace {

class StateImageCodecTest : public testing_support::ClusterFixture {
 protected:
  ClusterState Restored() {
    const std::string text = EncodeStateImage(state_.ToImage());
    const StateImage image = testing_support::ValueOrDie([&] { return DecodeStateImage(text); });
    return testing_support::ValueOrDie([&] { return ClusterState::Restore(image); });
  }

  JobId PlaceSmall() {
    const JobId job = Submit("t", Shape(2));
    (void)Apply(Placement({.job = job, .allocations = {Allocation(WorkerId(0), 2)}}));
    return job;
  }
};

// Guards against a count that starts at 0 after a snapshot and wraps around when a job ends.
TEST_F(StateImageCodecTest, Restore_WithActiveJob_CountsItsAccelerators) {
  AddDataCentre("a", 1, 1);
  AddTeam("t", {Guarantee(Shape(2), 1)});
  (void)PlaceSmall();
  EXPECT_EQ(Restored().teams().front().held_accelerators, 2U);
}

// Guards against run time estimates that count 0 for jobs that ended before a snapshot.
TEST_F(StateImageCodecTest, Restore_WithEndedJob_KeepsItsRunTime) {
  AddDataCentre("a", 1, 1);
  AddTeam("t", {Guarantee(Shape(2), 1)});
  const JobId job = PlaceSmall();
  Finish(job, JobOutcome::kSucceeded, kHour);
  EXPECT_EQ(Restored().FindJob(job)->run_time, kHour);
}

}  // namespace
}  // namespace clementineloom::codec
