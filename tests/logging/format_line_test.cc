#include "logging/format_line.h"

#include <gtest/gtest.h>

#include <chrono>

namespace clementineloom::logging {
namespace {

class FormatLineTest : public testing::Test {
 protected:
  static LogLine At(std::chrono::sys_days day, std::chrono::milliseconds time_of_day,
                    LogLevel level) {
    return {level, day + time_of_day, "event=probe"};
  }
};

// Guards against numbers without their leading zeros and against local time.
TEST_F(FormatLineTest, FormatLine_OfSmallNumbers_PadsThem) {
  using std::chrono::year;
  const std::chrono::milliseconds time_of_day(3'723'004);
  EXPECT_EQ(FormatLine(At(year(2026) / 2 / 3, time_of_day, LogLevel::kWarning)),
            "time=2026-02-03T01:02:03.004Z level=WARN event=probe");
}

// Guards against a time that is rounded up into the next second or day.
TEST_F(FormatLineTest, FormatLine_AtTheEndOfALeapDay_StaysWithinIt) {
  using std::chrono::year;
  const auto end = std::chrono::hours(24) - std::chrono::milliseconds(1);
  EXPECT_EQ(FormatLine(At(year(2028) / 2 / 29, end, LogLevel::kError)),
            "time=2028-02-29T23:59:59.999Z level=ERROR event=probe");
}

}  // namespace
}  // namespace clementineloom::logging
