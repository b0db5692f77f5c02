#include <gtest/gtest.h>

#include <regex>
#include <string>

#include "logging/event_log.h"
#include "support/log_file.h"

namespace clementineloom::logging {
namespace {

class LogLineTest : public testing::Test {
 protected:
  const testing_support::LogFile log_{"log-line"};
};

// Guards against lines that tools cannot read because their time is not written in ISO 8601.
TEST_F(LogLineTest, LogEvent_WithFields_WritesTheDocumentedLine) {
  LogEvent(LogLevel::kInfo, "probe", {{"job", "a1"}, {"waited_ms", 7}});
  ASSERT_TRUE(log_.Contains("event=probe job=a1 waited_ms=7\n"));
  const std::regex line(
      R"(time=\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d\.\d{3}Z level=INFO event=probe job=a1 waited_ms=7\n)");
  EXPECT_TRUE(std::regex_search(log_.Read(), line)) << log_.Read();
}

}  // namespace
}  // namespace clementineloom::logging
