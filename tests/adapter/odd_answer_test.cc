#include <gtest/gtest.h>

#include <string>

#include "platform/users_platform.h"

namespace clementineloom::adapter {
namespace {

using workload::Milliseconds;
using workload::SteadyTime;

class OddAnswerTest : public testing::Test {
 protected:
  static net::ClientResult Answer(std::string body) {
    return {net::CallId(1), net::HttpResponse{200, {}, std::move(body)}, std::nullopt};
  }
  static std::string Lists(const std::string& running, const std::string& ended) {
    return R"({"clockMs":5,"running":[)" + running + R"(],"ended":[)" + ended + "]}";
  }
};

// Guards against numbers that change their sign on the way: an end of number -1 acknowledged all.
TEST_F(OddAnswerTest, ParseLists_WithNumbersOutOfRange_LeavesTheRowsOut) {
  const auto lists = UsersPlatform::ParseLists(
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

// Guards against leases whose end overflows: a clock beyond every time.
TEST_F(OddAnswerTest, ParseOrder_WithAClockOutOfRange_GivesNoClock) {
  for (const char* clock : {"9223372036854775807", "-9223372036854775808", "1e300", "-1"}) {
    const std::string body = std::string(R"({"clockMs":)") + clock + "}";
    EXPECT_FALSE(UsersPlatform::ParseOrder(Answer(body)).clock_ms.has_value()) << clock;
    EXPECT_FALSE(UsersPlatform::ParseLists(
                     Answer(R"({"running":[],"ended":[],"clockMs":)" + std::string(clock) + "}"))
                     .has_value())
        << clock;
  }
}

// Guards against tickets that seem to have expired because their time overflowed.
TEST_F(OddAnswerTest, ParseAdvice_ThatIsValidForVeryLong_IsValidAfterAnHour) {
  const SteadyTime now{std::chrono::hours(1)};
  for (const char* valid : {"9223372036854775807", "9000000000000000"}) {
    const auto advice = UsersPlatform::ParseAdvice(
        Answer(std::string(R"({"approved":[["w","t"]],"validMs":)") + valid + "}"), now);
    ASSERT_TRUE(advice.has_value());
    EXPECT_GT(advice->at(0).valid_until, now + std::chrono::hours(1));
  }
  const auto expired = UsersPlatform::ParseAdvice(
      Answer(R"({"approved":[["w","t"]],"validMs":-9223372036854775808})"), now);
  ASSERT_TRUE(expired.has_value());
  EXPECT_LE(expired->at(0).valid_until, now);
}

// Guards against a caller's time that overflows, and against due times that do.
TEST_F(OddAnswerTest, ParseCaller_WithAVeryLongDeadline_IsBounded) {
  const net::HttpRequest request{
      "GET", "/q/", net::HttpHeaders().With("X-Clementineloom-Deadline-Ms", "9223372036854775807"),
      "", "h"};
  EXPECT_LE(UsersPlatform::ParseCaller(request).timeout_ms, 86'400'000);
  EXPECT_FALSE(
      UsersPlatform::ParseJob(R"({"spec":"","steps":[{"count":1}],"repeats":2,"intervalMs":1000,)"
                              R"("firstRunMs":9223372036854775807})")
          .has_value());
}

}  // namespace
}  // namespace clementineloom::adapter
