#include <gtest/gtest.h>
#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "logging/event_log.h"
#include "logging/log_route.h"

namespace clementineloom::logging {
namespace {

class ProcessLogTest : public testing::Test {
 protected:
  ProcessLogTest() : path_(SharedPath()) { GTEST_FLAG_SET(death_test_style, "threadsafe"); }
  ~ProcessLogTest() override {
    ExchangeRoute(former_);
    std::filesystem::remove(path_);
  }
  ProcessLogTest(const ProcessLogTest&) = delete;
  ProcessLogTest& operator=(const ProcessLogTest&) = delete;

  // The same path in the process of a death test, which inherits the environment.
  static std::string SharedPath() {
    constexpr const char* kVariable = "LOOM_PROCESS_LOG_TEST_FILE";
    const auto path =
        std::filesystem::temp_directory_path() / ("loom-process-log-" + std::to_string(getpid()));
    setenv(kVariable, path.c_str(), 0);
    return std::getenv(kVariable);
  }

  // Logs fewer lines than the buffer holds.
  [[noreturn]] static void LogAndExit(const std::string& file) {
    constexpr int kLines = 1'000;
    if (!ConfigureLog("info", file)) {
      std::exit(1);
    }
    for (int n = 0; n < kLines; ++n) {
      LogEvent(LogLevel::kInfo, "filler", {{"number", n}});
    }
    LogEvent(LogLevel::kInfo, "stopped", {});
    std::exit(0);
  }

  // Puts a route in force that keeps the lines in lines_.
  void KeepLines(LogLevel lowest) {
    ExchangeRoute(std::make_shared<LogRoute>(
        LogRoute{lowest, [this](LogLine line) { lines_.push_back(std::move(line)); }}));
  }
  [[nodiscard]] std::string Read() const {
    std::ifstream in(path_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

  const std::shared_ptr<const LogRoute> former_ = CurrentRoute();
  const std::string path_;
  std::vector<LogLine> lines_;
};

// Guards against a process whose last lines are lost at a planned stop.
TEST_F(ProcessLogTest, Exit_WithBufferedLines_WritesThem) {
  EXPECT_EXIT(LogAndExit(path_), testing::ExitedWithCode(0), "");
  EXPECT_NE(Read().find("event=filler number=0\n"), std::string::npos);
  EXPECT_TRUE(Read().ends_with(" level=INFO event=stopped\n"));
}

// Guards against the same where the log is standard output.
TEST_F(ProcessLogTest, Exit_WithBufferedLinesForStandardOutput_WritesThem) {
  const auto log_and_exit = [] {
    // A death test can read standard error only.
    dup2(STDERR_FILENO, STDOUT_FILENO);
    LogAndExit("-");
  };
  EXPECT_EXIT(log_and_exit(), testing::ExitedWithCode(0), " level=INFO event=stopped\n");
}

// Guards against threads that crash or hang because they log while the process exits.
TEST_F(ProcessLogTest, Exit_WhileAThreadLogs_Ends) {
  const auto exit_beside_thread = [this] {
    if (!ConfigureLog("info", path_)) {
      std::exit(1);
    }
    std::thread([] {
      for (;;) {
        LogEvent(LogLevel::kInfo, "filler", {});
      }
    }).detach();
    std::exit(0);
  };
  EXPECT_EXIT(exit_beside_thread(), testing::ExitedWithCode(0), "");
}

// Guards against a crash by events that are logged before the log is configured.
TEST_F(ProcessLogTest, LogEvent_WithoutARoute_IsDiscarded) {
  ExchangeRoute(nullptr);
  LogEvent(LogLevel::kError, "early", {});
  KeepLines(LogLevel::kInfo);
  EXPECT_TRUE(lines_.empty());
}

// Guards against a level in the settings that is not kept to.
TEST_F(ProcessLogTest, LogEvent_BelowTheLowestLevel_IsDiscarded) {
  KeepLines(LogLevel::kWarning);
  LogEvent(LogLevel::kInfo, "routine", {});
  LogEvent(LogLevel::kWarning, "doubt", {{"job", "a1"}});
  ASSERT_EQ(lines_.size(), 1U);
  EXPECT_EQ(lines_.front().level(), LogLevel::kWarning);
  EXPECT_EQ(lines_.front().event(), "event=doubt job=a1");
}

}  // namespace
}  // namespace clementineloom::logging
