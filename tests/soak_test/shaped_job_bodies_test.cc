#include "soak/shaped_job_bodies.h"

#include <gtest/gtest.h>

#include <boost/json/array.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <random>

#include "soak/job_bodies.h"
#include "soak/job_shape.h"
#include "soak/soak_fleet.h"

namespace clementineloom::soak {
namespace {

// Guards against workers that run other jobs than the judge counts with.
class ShapedJobBodiesTest : public testing::Test {
 protected:
  static constexpr int kJobs = 500;

  std::mt19937_64 random_{7};
};

TEST_F(ShapedJobBodiesTest, Profile_OfEachDrawnJob_HasTheResourcesOfItsShape) {
  const ShapedJobBodies bodies(JobShapes::Standard());
  std::size_t widest = 0;
  for (int n = 0; n < kJobs; ++n) {
    const std::string body = bodies(random_);
    const std::string payload(boost::json::parse(body).as_object().at("spec").as_string());
    const StepShape first = JobShape::Parse(body).steps.at(0);
    const auto profile = JobBodies::ProfileOf("00000000000000aa.0.0.0", payload);
    EXPECT_EQ(profile.resources, first.task);
    EXPECT_EQ(profile.gang_size, first.is_gang ? first.count : 0);
    widest = std::max(widest, first.count);
  }
  EXPECT_GT(widest, 24U);
  EXPECT_LE(widest, 30U);
}

TEST_F(ShapedJobBodiesTest, TwoTasks_OfAStandardJob_ExceedTheMemoryOfAWorker) {
  const SoakFleet fleet = SoakFleet::Make(JobMix::kShapes, 48, 8);
  const StepShape step = JobShape::Parse(ShapedJobBodies(JobShapes::Standard())(random_)).steps[0];
  EXPECT_TRUE(step.task.FitsIn(fleet.workers().front().capacity));
  EXPECT_FALSE((step.task + step.task).FitsIn(fleet.workers().front().capacity));
  EXPECT_EQ(fleet.workers().back().rack, "r7");
  EXPECT_EQ(fleet.workers().back().labels.front(), SoakFleet::kRareKind);
}

}  // namespace
}  // namespace clementineloom::soak
