#include "ctl/trace/parse_log_line.h"

#include <gtest/gtest.h>

#include <chrono>

#include "ctl/trace/parse_instance_log.h"
#include "logging/format_event.h"

namespace clementineloom::ctl::trace {
namespace {

using std::chrono::microseconds;

class ParseLogLineTest : public testing::Test {
 protected:
  static std::string Prefixed(const std::string& event) {
    return "time=2026-12-05T13:22:21.123Z level=INFO " + event;
  }
};

// Guards against values that the log writes and the trace reads otherwise.
TEST_F(ParseLogLineTest, Line_WithEscapedValue_HasTheValueThatWasLogged) {
  const std::string value = "a \"b\" \\ c=\n\x7f";
  const auto line = ParseLogLine(Prefixed(logging::FormatEvent("e", {{"k", value}, {"n", 7}})));
  ASSERT_TRUE(line);
  EXPECT_EQ(line->event, "e");
  EXPECT_EQ(line->level, "INFO");
  EXPECT_EQ(line->Field("k"), value);
  EXPECT_EQ(line->Field("n"), "7");
  EXPECT_EQ(line->Field("absent"), "");
}

// Guards against an empty value, which is written as two quotes, that makes a line unreadable.
TEST_F(ParseLogLineTest, Line_WithEmptyValue_IsRead) {
  const auto line = ParseLogLine(Prefixed(logging::FormatEvent("e", {{"k", ""}, {"n", 7}})));
  ASSERT_TRUE(line);
  EXPECT_EQ(line->Field("n"), "7");
}

// Guards against an order of instances that is wrong because times are misread.
TEST_F(ParseLogLineTest, Time_InUtc_IsCountedFrom1970) {
  const auto line = ParseLogLine(Prefixed("event=e"));
  ASSERT_TRUE(line);
  EXPECT_EQ(line->time, microseconds(1'796'476'941'123'000));
  EXPECT_EQ(line->time_text, "2026-12-05T13:22:21.123Z");
}

// Guards against logs of earlier versions that cannot be read.
TEST_F(ParseLogLineTest, Time_WithQuotesOfEarlierVersions_IsRead) {
  const auto line = ParseLogLine("time=2026-12-05'T'13:22:21.123'Z' level=INFO event=e");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->time, microseconds(1'796'476'941'123'000));
}

// Guards against lines that cannot be read because a collector put its own time before them.
TEST_F(ParseLogLineTest, Line_OfACollectorWithBothTimes_HasTheTimeOfTheProcess) {
  const auto line = ParseLogLine("0.1558 edge-liepaja-3 " + Prefixed("event=e"));
  ASSERT_TRUE(line);
  EXPECT_EQ(line->time, microseconds(1'796'476'941'123'000));
  EXPECT_EQ(line->instance, "edge-liepaja-3");
}

// Guards against collected logs, which begin with time and instance, that cannot be read.
TEST_F(ParseLogLineTest, Line_OfACollector_HasItsTimeAndInstance) {
  const auto line = ParseLogLine("19.6587 edge-liepaja-3 level=INFO event=e job=00000000000000a1");
  ASSERT_TRUE(line);
  EXPECT_EQ(line->time, microseconds(19'658'700));
  EXPECT_EQ(line->instance, "edge-liepaja-3");
  EXPECT_EQ(line->Field("job"), "00000000000000a1");
}

// Guards against cut or foreign lines that are taken for events.
TEST_F(ParseLogLineTest, Line_CutOffOrForeign_IsNotRead) {
  for (const char* text :
       {"", "out of memory", "time=2026-12-05T13:22:21.123Z level=INFO",
        "time=2026-12-05T13:22:21.123Z level=INFO event=e detail=\"the sto",
        "time=2026-12-05T13:22:21.123Z level=INFO event=e job=", "level=INFO event=e",
        "time=2026-13-05T13:22:21.123Z level=INFO event=e", "time=x level=INFO event=e",
        "time=2026-12-05T13:22:21.123Z level=INFO event=e cut",
        "time=2026-12-05T13:22:21.123Z level=INFO event=e k=\"a\\x1"}) {
    EXPECT_FALSE(ParseLogLine(text)) << text;
  }
}

// Guards against one damaged line that hides the rest of a log, or is left out without notice.
TEST_F(ParseLogLineTest, Log_WithDamagedLines_CountsThem) {
  const std::string text =
      Prefixed("event=a") + "\n\x01\x02garbage\n" + Prefixed("event=b") + "\n" + Prefixed("event=");
  const InstanceLog log = ParseInstanceLog("logs/edge-1.log", text);
  ASSERT_EQ(log.lines.size(), 2U);
  EXPECT_EQ(log.skipped, 2U);
  EXPECT_EQ(log.lines[1].event, "b");
  EXPECT_EQ(log.lines[1].instance, "edge-1");
}

// Guards against lines attributed to the file although the instance names itself when it starts.
TEST_F(ParseLogLineTest, Log_WithStartedEvent_HasItsInstance) {
  const std::string text = Prefixed("event=a") + "\n" + Prefixed("event=started instance=edge-7") +
                           "\n" + Prefixed("event=started instance=edge-8") + "\n";
  const InstanceLog log = ParseInstanceLog("pod-0.txt", text);
  ASSERT_EQ(log.lines.size(), 3U);
  EXPECT_EQ(log.lines[0].instance, "edge-7");
  EXPECT_EQ(log.lines[2].instance, "edge-8");
}

}  // namespace
}  // namespace clementineloom::ctl::trace
