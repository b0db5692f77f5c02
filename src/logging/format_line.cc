#include "logging/format_line.h"

#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>

namespace clementineloom::logging {
namespace {

std::string_view NameOf(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "DEBUG";
    case LogLevel::kInfo:
      return "INFO";
    case LogLevel::kWarning:
      return "WARN";
    case LogLevel::kError:
      break;
  }
  return "ERROR";
}

void AppendPadded(std::string& text, std::int64_t value, std::size_t width) {
  const std::string digits = std::to_string(value);
  text.append(width - std::min(width, digits.size()), '0');
  text += digits;
}

// ISO 8601 in UTC with milliseconds.
void AppendTime(std::string& text, LogLine::Time time) {
  const auto day = std::chrono::floor<std::chrono::days>(time);
  const std::chrono::year_month_day date(day);
  const std::chrono::hh_mm_ss time_of_day(
      std::chrono::floor<std::chrono::milliseconds>(time - day));
  AppendPadded(text, static_cast<int>(date.year()), 4);
  text += '-';
  AppendPadded(text, static_cast<unsigned>(date.month()), 2);
  text += '-';
  AppendPadded(text, static_cast<unsigned>(date.day()), 2);
  text += 'T';
  AppendPadded(text, time_of_day.hours().count(), 2);
  text += ':';
  AppendPadded(text, time_of_day.minutes().count(), 2);
  text += ':';
  AppendPadded(text, time_of_day.seconds().count(), 2);
  text += '.';
  AppendPadded(text, time_of_day.subseconds().count(), 3);
  text += 'Z';
}

}  // namespace

std::string FormatLine(const LogLine& line) {
  std::string text = "time=";
  AppendTime(text, line.time());
  text += " level=";
  text += NameOf(line.level());
  text += ' ';
  text += line.event();
  return text;
}

}  // namespace clementineloom::logging
