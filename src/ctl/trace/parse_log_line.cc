#include "ctl/trace/parse_log_line.h"

#include <charconv>
#include <cstddef>
#include <string>
#include <utility>

#include "ctl/trace/parse_log_time.h"

namespace clementineloom::ctl::trace {
namespace {

// Reads the two digits after "\x".
std::optional<char> ReadHexByte(std::string_view digits) {
  constexpr int kHexBase = 16;
  unsigned byte = 0;
  const auto [end, error] =
      std::from_chars(digits.data(), digits.data() + digits.size(), byte, kHexBase);
  const bool is_byte = error == std::errc() && digits.size() == 2 && end == digits.data() + 2;
  return is_byte ? std::optional(static_cast<char>(byte)) : std::nullopt;
}

// Removes a quoted value from the front of the text and returns it without quotes and escapes.
std::optional<std::string> TakeQuoted(std::string_view& text) {
  std::string value;
  for (std::size_t n = 1; n < text.size(); ++n) {
    if (text[n] == '"') {
      text.remove_prefix(n + 1);
      return value;
    }
    if (text[n] != '\\') {
      value += text[n];
      continue;
    }
    ++n;
    if (n < text.size() && text[n] == 'x') {
      const auto byte = ReadHexByte(text.substr(n + 1, 2));
      if (!byte) {
        return std::nullopt;
      }
      value += *byte;
      n += 2;
    } else if (n < text.size()) {
      value += text[n];
    }
  }
  return std::nullopt;
}

std::string_view TakeUntil(std::string_view& text, std::string_view ends) {
  const std::string_view taken = text.substr(0, text.find_first_of(ends));
  text.remove_prefix(taken.size());
  return taken;
}

std::optional<std::string> TakeValue(std::string_view& text) {
  if (text.starts_with('"')) {
    return TakeQuoted(text);
  }
  const std::string_view value = TakeUntil(text, " ");
  return value.empty() ? std::nullopt : std::optional(std::string(value));
}

void Store(LogLine& line, std::string_view key, std::string value) {
  if (key == "time") {
    line.time_text = std::move(value);
  } else if (key == "level") {
    line.level = std::move(value);
  } else if (key == "event") {
    line.event = std::move(value);
  } else {
    line.fields.emplace_back(key, std::move(value));
  }
}

// Stores a word without a key, which a collector has put in front of the line.
bool StorePrefix(LogLine& line, std::string_view word) {
  if (!line.level.empty() || !line.event.empty()) {
    return false;
  }
  if (line.time_text.empty() && ParseLogTime(word)) {
    line.time_text = word;
    return true;
  }
  const bool is_first_name = line.instance.empty();
  line.instance = word;
  return is_first_name;
}

bool TakeWord(LogLine& line, std::string_view& text) {
  const std::string_view key = TakeUntil(text, " =");
  if (!text.starts_with('=')) {
    return StorePrefix(line, key);
  }
  text.remove_prefix(1);
  auto value = TakeValue(text);
  if (!value || (!text.empty() && text.front() != ' ')) {
    return false;
  }
  Store(line, key, std::move(*value));
  return true;
}

}  // namespace

std::optional<LogLine> ParseLogLine(std::string_view text) {
  LogLine line;
  while (!text.empty()) {
    if (text.front() == ' ') {
      text.remove_prefix(1);
    } else if (!TakeWord(line, text)) {
      return std::nullopt;
    }
  }
  const auto time = ParseLogTime(line.time_text);
  if (!time || line.level.empty() || line.event.empty()) {
    return std::nullopt;
  }
  line.time = *time;
  return line;
}

}  // namespace clementineloom::ctl::trace
