#pragma once

#include <cstdint>
#include <mutex>
#include <optional>

#include "logging/log_line.h"

namespace clementineloom::logging {

/// @brief Counts the lines that were dropped and keeps the first of the most severe ones.
/// Thread safety: every member may be called from any thread.
class DropCounter {
 public:
  void Count(LogLine dropped);

  /// @brief The line that names what was dropped since the last summary; nothing if no line was.
  /// Its level is that of the most severe dropped line.
  [[nodiscard]] std::optional<LogLine> TakeSummary(LogLine::Time now);

 private:
  std::mutex mutex_;
  std::uint64_t lines_ = 0;
  std::uint64_t warnings_ = 0;
  std::uint64_t errors_ = 0;
  std::optional<LogLine> most_severe_;
};

}  // namespace clementineloom::logging
