#include "clementineloom/workload/recent_starts.h"

#include <gtest/gtest.h>

#include <cstdint>

namespace clementineloom::workload {
namespace {

class RecentStartsTest : public testing::Test {
 protected:
  // Longest delay with which the platform carries out an order.
  static constexpr Milliseconds kLatestArrival{12'000};

  [[nodiscard]] static TaskId Task() { return {{"00000000000000a1", 0, 0}, 0}; }
  [[nodiscard]] static TaskSet Record(TaskPhase phase, std::uint64_t run) {
    return {Task(), TaskRecord{phase, run, "w0", 0, ""}};
  }
  [[nodiscard]] static SteadyTime At(Milliseconds time) { return SteadyTime() + time; }

  RecentStarts starts_;
};

// Guards against a start that counts as over while its order may still arrive.
TEST_F(RecentStartsTest, Order_OfAStartThatWasRead_MayArriveForTwelveSeconds) {
  starts_.OnRecord(Record(TaskPhase::kPlaced, 3), At(Milliseconds(500)));
  const auto until = starts_.OrderArrivesUntil({Task(), 3});
  ASSERT_TRUE(until.has_value());
  EXPECT_GE(*until, At(Milliseconds(500)) + kLatestArrival);
  EXPECT_FALSE(starts_.OrderArrivesUntil({Task(), 2}).has_value());
}

// Guards against an order that counts as over because its record was first read long ago, although
// it was recorded and ordered once more since.
TEST_F(RecentStartsTest, Order_RecordedAgain_MayArriveFromTheLastRecord) {
  starts_.OnRecord(Record(TaskPhase::kPlaced, 3), At(Milliseconds(0)));
  starts_.OnRecord(Record(TaskPhase::kPlaced, 3), At(Milliseconds(8'000)));
  starts_.OnRecord(Record(TaskPhase::kDone, 2), At(Milliseconds(15'000)));
  const auto until = starts_.OrderArrivesUntil({Task(), 3});
  ASSERT_TRUE(until.has_value());
  EXPECT_GE(*until, At(Milliseconds(8'000)) + kLatestArrival);
}

// Guards against memory that grows with all starts, and against tasks that wait for old orders.
TEST_F(RecentStartsTest, Order_OlderThanItsLifetime_IsForgotten) {
  starts_.OnRecord(Record(TaskPhase::kPlaced, 3), At(Milliseconds(0)));
  starts_.OnRecord(Record(TaskPhase::kDone, 3), At(Milliseconds(20'000)));
  EXPECT_FALSE(starts_.OrderArrivesUntil({Task(), 3}).has_value());
}

}  // namespace
}  // namespace clementineloom::workload
