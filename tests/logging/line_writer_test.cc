#include "logging/line_writer.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <future>
#include <memory>
#include <regex>
#include <stdexcept>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "support/value_or_die.h"

namespace clementineloom::logging {
namespace {

// What a destination was given, and a gate that blocks its first write. Read the lines only after
// the writer was stopped.
struct Written {
  std::promise<void> gate;
  std::shared_future<void> opened = gate.get_future().share();
  std::vector<LogLine> lines;
  std::thread::id thread;
};

class GatedDestination {
 public:
  explicit GatedDestination(std::shared_ptr<Written> written) : written_(std::move(written)) {}

  void Write(const LogLine& line) {
    written_->opened.wait();
    written_->thread = std::this_thread::get_id();
    written_->lines.push_back(line);
  }

 private:
  std::shared_ptr<Written> written_;
};

class LineWriterTest : public testing::Test {
 protected:
  using Writer = LineWriter<GatedDestination>;
  static constexpr std::size_t kCapacity = 16;

  static LogLine Line(LogLevel level, const std::string& event) {
    return {level, LogLine::Time(), event};
  }

  // Sum of a field over all summary lines.
  [[nodiscard]] std::uint64_t SumOf(const std::string& field) const {
    const std::regex count(" " + field + "=(\\d+)");
    std::uint64_t sum = 0;
    for (const LogLine& it : written_->lines) {
      std::smatch match;
      if (IsSummary(it) && std::regex_search(it.event(), match, count)) {
        sum += std::stoull(match[1]);
      }
    }
    return sum;
  }
  static bool IsSummary(const LogLine& line) {
    return line.event().starts_with("event=log_lines_dropped ");
  }
  [[nodiscard]] std::vector<std::string> Events() const {
    std::vector<std::string> events;
    for (const LogLine& it : written_->lines) {
      if (!IsSummary(it)) {
        events.push_back(it.event());
      }
    }
    return events;
  }

  const std::shared_ptr<Written> written_ = std::make_shared<Written>();
  const std::unique_ptr<Writer> writer_ = testing_support::ValueOrDie(
      [this] { return Writer::Start(kCapacity, [this] { return GatedDestination(written_); }); });
};

// Guards against lines that are neither written nor counted where many threads log at once and the
// destination is slow.
TEST_F(LineWriterTest, Write_ByManyThreadsBeyondCapacity_WritesOrCountsEachLine) {
  constexpr std::uint64_t kThreads = 8;
  constexpr std::uint64_t kLinesEach = 2'000;
  std::vector<std::thread> threads;
  threads.reserve(kThreads);
  for (std::uint64_t thread = 0; thread < kThreads; ++thread) {
    threads.emplace_back([this] {
      for (std::uint64_t n = 0; n < kLinesEach; ++n) {
        writer_->Write(Line(LogLevel::kInfo, "event=filler number=" + std::to_string(n)));
      }
    });
  }
  threads.front().join();
  written_->gate.set_value();
  for (std::size_t n = 1; n < threads.size(); ++n) {
    threads[n].join();
  }
  writer_->Stop();
  EXPECT_GT(SumOf("lines"), 0U);
  EXPECT_EQ(Events().size() + SumOf("lines"), kThreads * kLinesEach);
}

// Guards against callers that wait for a destination that does not take lines, and against a drop
// that hides the severity of what was lost.
TEST_F(LineWriterTest, Write_WhileDestinationBlocks_ReturnsAndCountsBySeverity) {
  // The writing thread holds one more line than the ring.
  constexpr std::size_t kMostHeld = kCapacity + 1;
  for (std::size_t n = 0; n < 2 * kMostHeld; ++n) {
    writer_->Write(Line(LogLevel::kInfo, "event=filler"));
  }
  writer_->Write(Line(LogLevel::kError, "event=failure job=a1"));
  writer_->Write(Line(LogLevel::kWarning, "event=doubt"));
  written_->gate.set_value();
  writer_->Stop();
  EXPECT_EQ(SumOf("errors"), 1U);
  EXPECT_EQ(SumOf("warnings"), 1U);
  const auto summary = std::ranges::find_if(written_->lines, IsSummary);
  ASSERT_NE(summary, written_->lines.end());
  EXPECT_EQ(summary->level(), LogLevel::kError);
  EXPECT_NE(summary->event().find("most_severe=\"event=failure job=a1\""), std::string::npos);
}

// Guards against a planned stop that loses the last lines of the process.
TEST_F(LineWriterTest, Stop_WithQueuedLines_WritesAllInOrder) {
  std::vector<std::string> expected;
  for (std::size_t n = 0; n < kCapacity; ++n) {
    expected.push_back("event=last number=" + std::to_string(n));
    writer_->Write(Line(LogLevel::kInfo, expected.back()));
  }
  written_->gate.set_value();
  writer_->Stop();
  EXPECT_EQ(Events(), expected);
  EXPECT_EQ(SumOf("lines"), 0U);
}

// Guards against threads that write to the destination themselves once the log is stopped.
TEST_F(LineWriterTest, Write_AfterStop_IsDropped) {
  written_->gate.set_value();
  writer_->Stop();
  writer_->Write(Line(LogLevel::kInfo, "event=late"));
  EXPECT_TRUE(written_->lines.empty());
}

// Guards against two threads that use the destination, which need not be safe for that.
TEST_F(LineWriterTest, Write_ByACaller_IsWrittenByAnotherThread) {
  written_->gate.set_value();
  writer_->Write(Line(LogLevel::kInfo, "event=probe"));
  writer_->Stop();
  EXPECT_EQ(Events().size(), 1U);
  EXPECT_NE(written_->thread, std::this_thread::get_id());
}

// Guards against a daemon that runs without a log because its file cannot be opened.
TEST_F(LineWriterTest, Start_WhenTheDestinationCannotBeOpened_IsRefused) {
  const auto open = []() -> GatedDestination { throw std::runtime_error("no such folder"); };
  const auto refusal = RefusalOf([&] { return Writer::Start(kCapacity, open); });
  ASSERT_TRUE(refusal);
  EXPECT_EQ(refusal->code, ResultCode::kFileUnreadable);
  EXPECT_EQ(refusal->detail, "no such folder");
  written_->gate.set_value();
}

}  // namespace
}  // namespace clementineloom::logging
