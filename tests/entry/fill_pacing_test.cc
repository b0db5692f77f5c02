#include <gtest/gtest.h>

#include <string>

#include "standin/standin_cluster.h"

namespace clementineloom::entry {
namespace {

using standin::StandInCluster;
using workload::Milliseconds;

constexpr const char* kService = "00000000000000a1.0.0.0";
constexpr const char* kFill = "00000000000000b1.0.0.0";
constexpr const char* kServiceStep =
    R"([{"count":1,"cpu":1000,"gpus":1,"longRunning":true,"targetMs":100,"image":"web"}])";
constexpr const char* kFillStep =
    R"([{"count":1,"cpu":4000,"estimateMs":60000,"fills":true,"image":"batch"}])";
constexpr std::int64_t kTargetMs = 100;

class FillPacingTest : public testing::Test {
 protected:
  FillPacingTest() {
    cluster_.workers[0]->SetTailLatency(kService, 30, 120);
    EXPECT_EQ(cluster_.Submit(0, "00000000000000a1", kServiceStep)->status, 200);
    EXPECT_EQ(cluster_.Submit(0, "00000000000000b1", kFillStep, "/bulk/")->status, 200);
    cluster_.RunFor(Milliseconds(500));
  }

  [[nodiscard]] std::int64_t Tail() const { return cluster_.workers[0]->ReportedTailMs(kService); }
  [[nodiscard]] std::int64_t Pace() const {
    const auto it = cluster_.workers[0]->running().find(kFill);
    return it == cluster_.workers[0]->running().end() ? -1 : it->second.pace_percent;
  }
  // Longest continuous time for which the tail latency is over its target.
  Milliseconds LongestTimeOverTarget(Milliseconds span) {
    Milliseconds longest{0};
    Milliseconds over{0};
    for (Milliseconds n{0}; n < span; ++n) {
      cluster_.RunFor(Milliseconds(1));
      over = Tail() > kTargetMs ? over + Milliseconds(1) : Milliseconds(0);
      longest = std::max(longest, over);
    }
    return longest;
  }

  StandInCluster cluster_{2, 1, Milliseconds(60'000)};
};

// Guards against a backfill run that keeps a service task over its latency target for seconds.
TEST_F(FillPacingTest, Fill_BesideAServiceTask_IsPacedUntilTheTailIsBelowItsTarget) {
  ASSERT_GE(Pace(), 0);
  EXPECT_LT(LongestTimeOverTarget(Milliseconds(20'000)), Milliseconds(2'000));
  EXPECT_GT(Pace(), 0);
}

// Guards against a pace that is lost when the owner changes.
TEST_F(FillPacingTest, Fill_AfterAChangeOfOwner_IsStillPaced) {
  cluster_.RunFor(Milliseconds(4'000));
  cluster_.Kill(cluster_.OwnerIndex().value_or(0));
  EXPECT_LT(LongestTimeOverTarget(Milliseconds(15'000)), Milliseconds(2'000));
  cluster_.workers[0]->SetTailLatency(kService, 10, 20);
  cluster_.RunFor(Milliseconds(20'000));
  EXPECT_EQ(Pace(), 100);
}

}  // namespace
}  // namespace clementineloom::entry
