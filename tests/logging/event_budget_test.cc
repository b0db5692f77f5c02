#include "logging/event_budget.h"

#include <gtest/gtest.h>

namespace clementineloom::logging {
namespace {

class EventBudgetTest : public testing::Test {
 protected:
  EventBudget budget_{2};
  EventBudget::Time now_ = EventBudget::Time() + std::chrono::seconds(9);
};

// Guards against a log whose volume grows with the load.
TEST_F(EventBudgetTest, Allow_BeyondTheBudget_LeavesOutAndCounts) {
  EXPECT_TRUE(budget_.Allow(now_));
  EXPECT_TRUE(budget_.Allow(now_));
  EXPECT_FALSE(budget_.Allow(now_));
  EXPECT_FALSE(budget_.Allow(now_));
  EXPECT_EQ(budget_.TakeLeftOut(), 2U);
  EXPECT_EQ(budget_.TakeLeftOut(), 0U);
  EXPECT_TRUE(budget_.Allow(now_ + std::chrono::seconds(1)));
}

}  // namespace
}  // namespace clementineloom::logging
