#include <gtest/gtest.h>

#include <algorithm>
#include <string>
#include <thread>
#include <vector>

#include "logging/event_log.h"
#include "support/log_file.h"

namespace clementineloom::logging {
namespace {

class ConcurrentCallersTest : public testing::Test {
 protected:
  const testing_support::LogFile log_{"concurrent-callers"};
};

// Guards, under ThreadSanitizer, against objects that the threads of callers share with the thread
// that writes, and against lines that run into each other.
TEST_F(ConcurrentCallersTest, LogEvent_ByManyThreads_WritesWholeLines) {
  constexpr int kThreads = 8;
  constexpr int kLinesEach = 200;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (int thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([thread] {
      for (int n = 0; n < kLinesEach; ++n) {
        LogEvent(LogLevel::kInfo, "filler", {{"thread", thread}, {"number", n}});
      }
    });
  }
  for (std::thread& it : threads) {
    it.join();
  }
  // Written last, because all other lines were queued before.
  LogEvent(LogLevel::kInfo, "all_joined", {});
  ASSERT_TRUE(log_.Contains("event=all_joined\n"));
  const std::string text = log_.Read();
  EXPECT_EQ(std::ranges::count(text, '\n'), kThreads * kLinesEach + 1);
  for (int thread = 0; thread < kThreads; ++thread) {
    const std::string last = " level=INFO event=filler thread=" + std::to_string(thread) +
                             " number=" + std::to_string(kLinesEach - 1) + "\n";
    EXPECT_NE(text.find(last), std::string::npos) << last;
  }
}

}  // namespace
}  // namespace clementineloom::logging
