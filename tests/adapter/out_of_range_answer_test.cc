#include <gtest/gtest.h>

#include <string>

#include "platform/platform_adapter.h"

namespace clementineloom::adapter {
namespace {

using workload::Milliseconds;
using workload::SteadyTime;

class OutOfRangeAnswerTest : public testing::Test {
 protected:
  static net::ClientResult Answer(std::string body) {
    return {net::CallId(1), net::HttpResponse{200, {}, std::move(body)}, std::nullopt};
  }
  static std::string Lists(const std::string& running, const std::string& ended) {
    return R"({"clockMs":5,"running":[)" + running + R"(],"ended":[)" + ended + "]}";
  }
};

// Guards against negative numbers that become huge unsigned ones: an end with the number -1
// acknowledged all ends.
TEST_F(OutOfRangeAnswerTest, ParseLists_WithNumbersOutOfRange_OmitsOrClampsThem) {
  const auto lists = PlatformAdapter::ParseLists(
      Answer(Lists(R"(["j.0.0.1",-2,"",41,7],["j.0.0.2",1,"",-41,-7],["j.0.0.3",1,"",1e18,1e18])",
                   R"([-1,"j.0.0.9",1,"done",""],[7,"j.0.0.8",-1,"done",""],
               [9223372036854775807,"j.0.0.7",1,"done",""],[8,"j.0.0.6",1,"done",""])")));
  ASSERT_TRUE(lists.has_value());
  ASSERT_EQ(lists->running.size(), 2U);
  EXPECT_EQ(lists->running[0].percent, 0U);
  EXPECT_EQ(lists->running[0].load_figure, 0);
  EXPECT_EQ(lists->running[1].percent, 100U);
  ASSERT_EQ(lists->ended.size(), 1U);
  EXPECT_EQ(lists->ended[0].number, 8U);
}

// Guards against lease ends that overflow because the clock of a worker is out of range.
TEST_F(OutOfRangeAnswerTest, ParseOrder_WithClockOutOfRange_ReturnsNoClock) {
  for (const char* clock : {"9223372036854775807", "-9223372036854775808", "1e300", "-1"}) {
    const std::string body = std::string(R"({"clockMs":)") + clock + "}";
    EXPECT_FALSE(PlatformAdapter::ParseOrder(Answer(body)).clock_ms.has_value()) << clock;
    EXPECT_FALSE(PlatformAdapter::ParseLists(
                     Answer(R"({"running":[],"ended":[],"clockMs":)" + std::string(clock) + "}"))
                     .has_value())
        << clock;
  }
}

// Guards against tickets that seem expired because their expiry time overflowed.
TEST_F(OutOfRangeAnswerTest, ParseAdvice_WithHugeValidity_IsValidAfterAnHour) {
  const SteadyTime now{std::chrono::hours(1)};
  for (const char* valid : {"9223372036854775807", "9000000000000000"}) {
    const auto advice = PlatformAdapter::ParseAdvice(
        Answer(std::string(R"({"approved":[["w","t"]],"validMs":)") + valid + "}"), now);
    ASSERT_TRUE(advice.has_value());
    EXPECT_GT(advice->at(0).valid_until, now + std::chrono::hours(1));
  }
  const auto expired = PlatformAdapter::ParseAdvice(
      Answer(R"({"approved":[["w","t"]],"validMs":-9223372036854775808})"), now);
  ASSERT_TRUE(expired.has_value());
  EXPECT_LE(expired->at(0).valid_until, now);
}

// Guards against deadlines of callers and due times of jobs that overflow.
TEST_F(OutOfRangeAnswerTest, ParseCaller_WithHugeDeadline_IsBounded) {
  const net::HttpRequest request{
      "GET", "/q/", net::HttpHeaders().With("X-Clementineloom-Deadline-Ms", "9223372036854775807"),
      "", "h"};
  EXPECT_LE(PlatformAdapter::ParseCaller(request).timeout_ms, 86'400'000);
  EXPECT_FALSE(
      PlatformAdapter::ParseJob(R"({"spec":"","steps":[{"count":1}],"repeats":2,"intervalMs":1000,)"
                                R"("firstRunMs":9223372036854775807})")
          .has_value());
}

}  // namespace
}  // namespace clementineloom::adapter
