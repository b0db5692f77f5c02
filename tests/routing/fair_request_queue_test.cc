#include "clementineloom/routing/fair_request_queue.h"

#include <gtest/gtest.h>

#include <map>
#include <string>

namespace clementineloom {
namespace {

class FairRequestQueueTest : public testing::Test {
 protected:
  std::optional<std::string> Add(const std::string& team, const std::string& item,
                                 RequestPriority priority = RequestPriority::kNormal) {
    return queue_.Add(team, priority, now_ + std::chrono::seconds(1), item);
  }

  std::optional<std::string> TakeNext() {
    return queue_.TakeNext([this](const std::string& team) { return team != blocked_; },
                           [this](const std::string& team) { return loads_[team]; });
  }

  MonotonicTime now_;
  FairRequestQueue<std::string> queue_{3};
  std::map<std::string, int> loads_;
  std::string blocked_;
};

// Guards against a small team that waits behind everything a large team has queued.
TEST_F(FairRequestQueueTest, TakeNext_WhenLargeTeamHasMoreInProgress_TakesSmallTeam) {
  Add("large", "l1");
  Add("large", "l2");
  Add("small", "s1");
  loads_ = {{"large", 50}, {"small", 0}};
  EXPECT_EQ(TakeNext(), "s1");
}

// Guards against serving a team's requests by arrival only, regardless of their priority.
TEST_F(FairRequestQueueTest, TakeNext_WithinTeam_TakesHighPriorityThenOldest) {
  Add("team", "low", RequestPriority::kLow);
  Add("team", "normal");
  Add("team", "high", RequestPriority::kHigh);
  EXPECT_EQ(TakeNext(), "high");
  EXPECT_EQ(TakeNext(), "normal");
  EXPECT_EQ(TakeNext(), "low");
  EXPECT_EQ(TakeNext(), std::nullopt);
}

// Guards against a team at its limit that blocks the others.
TEST_F(FairRequestQueueTest, TakeNext_WhenTeamIsNotEligible_TakesOtherTeam) {
  Add("blocked", "b1");
  Add("other", "o1");
  blocked_ = "blocked";
  EXPECT_EQ(TakeNext(), "o1");
  EXPECT_EQ(TakeNext(), std::nullopt);
  EXPECT_EQ(queue_.size(), 1U);
}

// Guards against a full queue that drops a request of a small team instead of one of the largest
// team.
TEST_F(FairRequestQueueTest, Add_WhenFull_DropsNewestLowestPriorityOfLargestTeam) {
  Add("large", "l1");
  Add("large", "l2-low", RequestPriority::kLow);
  Add("large", "l3", RequestPriority::kHigh);
  EXPECT_EQ(Add("small", "s1", RequestPriority::kLow), "l2-low");
  EXPECT_EQ(Add("large", "l4"), "l4");
  EXPECT_EQ(queue_.size(), 3U);
}

// Guards against requests that stay queued after their deadline, and against removing requests
// whose deadline has not passed.
TEST_F(FairRequestQueueTest, TakeExpired_TakesOnlyItemsPastDeadline) {
  Add("a", "old");
  now_ += std::chrono::milliseconds(500);
  Add("a", "new");
  EXPECT_EQ(queue_.next_deadline(), now_ + std::chrono::milliseconds(500));
  EXPECT_EQ(queue_.TakeExpired(now_ + std::chrono::milliseconds(500)),
            std::vector<std::string>{"old"});
  EXPECT_EQ(TakeNext(), "new");
}

}  // namespace
}  // namespace clementineloom
