#pragma once

#include <gtest/gtest.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <string>
#include <thread>

#include "logging/event_log.h"

namespace clementineloom::testing_support {

/// @brief Directs the log of this process to a file of its own and searches it.
///
/// The log keeps writing to the file after its removal. Thread safety: create it before other
/// threads start.
class LogFile {
 public:
  /// @param name unique in the test program
  explicit LogFile(const std::string& name)
      : path_(std::filesystem::temp_directory_path() /
              ("loom-" + name + "-" + std::to_string(getpid()))) {
    EXPECT_TRUE(logging::ConfigureLog("info", path_));
  }
  ~LogFile() { std::filesystem::remove(path_); }
  LogFile(const LogFile&) = delete;
  LogFile& operator=(const LogFile&) = delete;

  /// @brief Whether a line that contains the text is written within ten seconds. Another thread
  /// writes the lines, so that they appear some time after the event.
  [[nodiscard]] bool Contains(const std::string& text) const {
    const auto end = std::chrono::steady_clock::now() + std::chrono::seconds(10);
    while (Read().find(text) == std::string::npos) {
      if (std::chrono::steady_clock::now() >= end) {
        return false;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return true;
  }

  /// @brief Everything that was written so far.
  [[nodiscard]] std::string Read() const {
    std::ifstream in(path_);
    return {std::istreambuf_iterator<char>(in), {}};
  }

 private:
  const std::string path_;
};

}  // namespace clementineloom::testing_support
