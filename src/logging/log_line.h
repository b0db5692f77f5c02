#pragma once

#include <chrono>
#include <compare>
#include <string>
#include <utility>

#include "logging/log_level.h"

namespace clementineloom::logging {

/// @brief An event of the log as plain text that owns its memory, so that any thread may write it.
/// An immutable value.
class LogLine {
 public:
  using Time = std::chrono::system_clock::time_point;

  /// @param event "event=NAME key=value ...", see FormatEvent
  LogLine(LogLevel level, Time time, std::string event)
      : level_(level), time_(time), event_(std::move(event)) {}

  [[nodiscard]] LogLevel level() const { return level_; }
  /// @brief When the event was logged, which may be long before it is written.
  [[nodiscard]] Time time() const { return time_; }
  [[nodiscard]] const std::string& event() const { return event_; }

  friend auto operator<=>(const LogLine&, const LogLine&) = default;

 private:
  LogLevel level_;
  Time time_;
  std::string event_;
};

}  // namespace clementineloom::logging
