#include <fcntl.h>
#include <gtest/gtest.h>
#include <poll.h>
#include <sys/stat.h>
#include <unistd.h>

#include <array>
#include <chrono>
#include <filesystem>
#include <string>

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

  // Reads until the text appears. Returns whether it appeared before the timeout.
  bool ReadUntil(const std::string& text) {
    constexpr int kMaxWaitMs = 20'000;
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(kMaxWaitMs);
    std::array<char, 65'536> buf{};
    std::string all;
    while (all.find(text) == std::string::npos && std::chrono::steady_clock::now() < deadline) {
      pollfd readable{reader_, POLLIN, 0};
      if (poll(&readable, 1, kMaxWaitMs) <= 0) {
        return false;
      }
      const ssize_t count = read(reader_, buf.data(), buf.size());
      if (count <= 0) {
        return false;
      }
      all.append(buf.data(), static_cast<std::size_t>(count));
    }
    return all.find(text) != std::string::npos;
  }

  const std::string path_ =
      std::filesystem::temp_directory_path() / ("loom-slow-reader-" + std::to_string(getpid()));
  int reader_ = -1;
};

// Guards against decisions that block because nobody reads the log: once the FIFO and the buffer
// are full, further lines have to be dropped and counted.
TEST_F(SlowReaderTest, LogEvent_WhenNobodyReads_DropsAndCountsLines) {
  ASSERT_TRUE(ConfigureLog("info", path_));
  constexpr int kLinesBeyondBuffer = 20'000;
  for (int n = 0; n < kLinesBeyondBuffer; ++n) {
    LogEvent(LogLevel::kInfo, "filler", {{"number", n}});
  }
  EXPECT_TRUE(ReadUntil("Discarded"));
  LogEvent(LogLevel::kInfo, "after_the_flood", {});
  EXPECT_TRUE(ReadUntil("after_the_flood"));
}

}  // namespace
}  // namespace clementineloom::logging
