#include "ctl/trace/dropped_lines.h"

#include <charconv>
#include <string_view>

namespace clementineloom::ctl::trace {
namespace {

// The number in a field; 0 if the line lacks it.
std::uint64_t NumberOf(const LogLine& line, std::string_view key) {
  const std::string_view text = line.Field(key);
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

}  // namespace

std::uint64_t DroppedLines(const std::vector<InstanceLog>& logs) {
  std::uint64_t count = 0;
  for (const InstanceLog& log : logs) {
    for (const LogLine& it : log.lines) {
      count += it.event == "log_lines_dropped" ? NumberOf(it, "lines") : 0;
    }
  }
  return count;
}

std::uint64_t LeftOutLines(const std::vector<InstanceLog>& logs) {
  std::uint64_t count = 0;
  for (const InstanceLog& log : logs) {
    for (const LogLine& it : log.lines) {
      count += NumberOf(it, "left_out");
    }
  }
  return count;
}

}  // namespace clementineloom::ctl::trace
