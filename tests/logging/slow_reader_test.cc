#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <cstdlib>
#include <filesystem>
#include <string>
#include <string_view>

#include "logging/event_log.h"

namespace clementineloom::logging {
namespace {

// The log file is a FIFO whose reader reads only in ReadUntil.
class SlowReaderTest : public testing::Test {
 protected:
  SlowReaderTest() {
    EXPECT_EQ(mkfifo(path_.c_str(), S_IRUSR | S_IWUSR), 0);
    reader_ = open(path_.c_str(), O_RDONLY | O_NONBLOCK);
    EXPECT_GE(reader_, 0);
  }
  ~SlowReaderTest() override {
    close(reader_);
    std::filesystem::remove(path_);
  }
  SlowReaderTest(const SlowReaderTest&) = delete;
  SlowReaderTest& operator=(const SlowReaderTest&) = delete;

  // Reads until the condition on all text read so far holds. Returns whether it did before the
  // timeout.
  template <typename Condition>
  bool ReadUntil(Condition condition) {
    constexpr int kMaxWaitMs = 20'000;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kMaxWaitMs);
    std::array<char, 65'536> buf{};
    while (!condition(text_) && std::chrono::steady_clock::now() < deadline) {
      pollfd readable{reader_, POLLIN, 0};
      if (poll(&readable, 1, kMaxWaitMs) <= 0) {
        return false;
      }
      const ssize_t count = read(reader_, buf.data(), buf.size());
      if (count <= 0) {
        return false;
      }
      text_.append(buf.data(), static_cast<std::size_t>(count));
    }
    return condition(text_);
  }

  // Number of lines of the event "filler" itself, without summaries of dropped lines.
  static int WrittenLines(const std::string& text) {
    constexpr std::string_view kLine = " level=INFO event=filler ";
    int count = 0;
    for (auto at = text.find(kLine); at != std::string::npos; at = text.find(kLine, at + 1)) {
      ++count;
    }
    return count;
  }
  // Number of dropped lines, summed over all summary lines.
  static int DroppedLines(const std::string& text) {
    constexpr std::string_view kSummary = "Discarded ";
    int count = 0;
    for (auto at = text.find(kSummary); at != std::string::npos; at = text.find(kSummary, at + 1)) {
      count += std::atoi(text.c_str() + at + kSummary.size());
    }
    return count;
  }

  const std::string path_ =
      std::filesystem::temp_directory_path() / ("loom-slow-reader-" + std::to_string(getpid()));
  int reader_ = -1;
  std::string text_;
};

// Guards against decisions that block because nobody reads the log: once the FIFO and the buffer
// are full, further lines have to be dropped and counted.
TEST_F(SlowReaderTest, LogEvent_WhenNobodyReads_DropsAndCountsLines) {
  ASSERT_TRUE(ConfigureLog("info", path_));
  constexpr int kLinesBeyondBuffer = 20'000;
  for (int n = 0; n < kLinesBeyondBuffer; ++n) {
    LogEvent(LogLevel::kInfo, "filler", {{"number", n}});
  }
  // The buffer may fill again before the first summary line is read. It is certainly empty once
  // each line was written or counted.
  EXPECT_TRUE(ReadUntil([](const std::string& text) {
    return WrittenLines(text) + DroppedLines(text) == kLinesBeyondBuffer;
  }));
  EXPECT_GT(DroppedLines(text_), 0);
  LogEvent(LogLevel::kInfo, "after_the_flood", {});
  EXPECT_TRUE(ReadUntil(
      [](const std::string& text) { return text.find("after_the_flood") != std::string::npos; }));
}

}  // namespace
}  // namespace clementineloom::logging
