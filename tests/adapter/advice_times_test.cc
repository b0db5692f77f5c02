#include <gtest/gtest.h>

#include <string>
#include <variant>
#include <vector>

#include "platform/platform_adapter.h"

namespace clementineloom::adapter {
namespace {

class AdviceTimesTest : public testing::Test {
 protected:
  // The queue with a member, or none if it is left out.
  static std::vector<workload::Queue> QueuesWith(const std::string& member) {
    const auto item = PlatformAdapter::ParseOperatorItem(
        {"config",
         R"({"version":7,"routes":[{"name":"r","host":"h","pathPrefix":"/p/","service":"s")" +
             member + "}]}"});
    return std::get<workload::WorkloadConfig>(item).queues;
  }
};

// Guards against questions to the advice service that are given up before their time.
TEST_F(AdviceTimesTest, ParseOperatorItem_OfAQueueThatNeedsAdvice_ReadsTheTimesOfAnAnswer) {
  const auto queues = QueuesWith(R"(,"advice":{"decisionMs":700,"perWorkerMs":50,"validMs":3000})");
  ASSERT_EQ(queues.size(), 1U);
  EXPECT_TRUE(queues[0].needs_advice);
  EXPECT_EQ(queues[0].advice_times, (workload::AdviceTimes{700, 50}));
  EXPECT_EQ(queues[0].advice_times.AnswerTime(30), workload::Milliseconds(2'200));
}

// Guards against starts without the advice that a queue needs.
TEST_F(AdviceTimesTest, ParseOperatorItem_WithoutTimes_NeedsAdviceWithoutThem) {
  const auto queues = QueuesWith(R"(,"advice":{"validMs":3000})");
  ASSERT_EQ(queues.size(), 1U);
  EXPECT_TRUE(queues[0].needs_advice);
  EXPECT_EQ(queues[0].advice_times, workload::AdviceTimes{});
  EXPECT_FALSE(QueuesWith("").at(0).needs_advice);
}

// Guards against times that overflow, and against a queue that is lost for times of another type.
TEST_F(AdviceTimesTest, ParseOperatorItem_WithUnreadableTimes_KeepsTheQueueWithoutThem) {
  for (const char* member :
       {R"(,"advice":{"decisionMs":-1})", R"(,"advice":{"perWorkerMs":9223372036854775807})",
        R"(,"advice":{"decisionMs":"x"})", R"(,"advice":true)"}) {
    const auto queues = QueuesWith(member);
    ASSERT_EQ(queues.size(), 1U) << member;
    EXPECT_TRUE(queues[0].needs_advice) << member;
    EXPECT_EQ(queues[0].advice_times, workload::AdviceTimes{}) << member;
  }
}

}  // namespace
}  // namespace clementineloom::adapter
