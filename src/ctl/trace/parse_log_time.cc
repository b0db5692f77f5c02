#include "ctl/trace/parse_log_time.h"

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::ctl::trace {
namespace {

using std::chrono::microseconds;

constexpr std::size_t kMicrosecondDigits = 6;

// Reads a number that consists of digits only.
std::optional<std::int64_t> ReadNumber(std::string_view digits) {
  const auto is_digit = [](char c) { return c >= '0' && c <= '9'; };
  std::int64_t number = 0;
  const auto [end, error] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
  const bool is_number = error == std::errc() && std::ranges::all_of(digits, is_digit);
  return is_number ? std::optional(number) : std::nullopt;
}

// Reads a fraction of a second, without its dot; digits after the sixth are dropped.
std::optional<microseconds> ReadFraction(std::string_view digits) {
  digits = digits.substr(0, kMicrosecondDigits);
  const auto number = ReadNumber(digits);
  if (!number) {
    return std::nullopt;
  }
  std::int64_t value = *number;
  for (std::size_t n = digits.size(); n < kMicrosecondDigits; ++n) {
    value *= 10;
  }
  return microseconds(value);
}

std::optional<microseconds> ReadSeconds(std::string_view text) {
  const std::size_t dot = text.find('.');
  if (dot == std::string_view::npos) {
    return std::nullopt;
  }
  const auto seconds = ReadNumber(text.substr(0, dot));
  const auto fraction = ReadFraction(text.substr(dot + 1));
  constexpr std::int64_t kMaxSeconds = 100'000'000'000;
  if (!seconds || !fraction || *seconds > kMaxSeconds) {
    return std::nullopt;
  }
  return std::chrono::seconds(*seconds) + *fraction;
}

std::optional<std::chrono::days> ReadDate(std::string_view text) {
  const auto year = ReadNumber(text.substr(0, 4));
  const auto month = ReadNumber(text.substr(5, 2));
  const auto day = ReadNumber(text.substr(8, 2));
  if (!year || !month || !day || text[4] != '-' || text[7] != '-') {
    return std::nullopt;
  }
  const std::chrono::year_month_day date{std::chrono::year{static_cast<int>(*year)},
                                         std::chrono::month{static_cast<unsigned>(*month)},
                                         std::chrono::day{static_cast<unsigned>(*day)}};
  return date.ok() ? std::optional(static_cast<std::chrono::sys_days>(date).time_since_epoch())
                   : std::nullopt;
}

std::optional<microseconds> ReadUtc(std::string_view text) {
  constexpr std::string_view kShape = "0000-00-00T00:00:00.";
  constexpr std::size_t kHour = 11;
  constexpr std::size_t kMinute = 14;
  constexpr std::size_t kSecond = 17;
  if (text.size() <= kShape.size() + 1 || text.back() != 'Z' || text[kHour - 1] != 'T' ||
      text[kMinute - 1] != ':' || text[kSecond - 1] != ':' || text[kShape.size() - 1] != '.') {
    return std::nullopt;
  }
  const auto date = ReadDate(text);
  const auto hour = ReadNumber(text.substr(kHour, 2));
  const auto minute = ReadNumber(text.substr(kMinute, 2));
  const auto second = ReadNumber(text.substr(kSecond, 2));
  text.remove_suffix(1);
  const auto fraction = ReadFraction(text.substr(kShape.size()));
  if (!date || !hour || !minute || !second || !fraction) {
    return std::nullopt;
  }
  return *date + std::chrono::hours(*hour) + std::chrono::minutes(*minute) +
         std::chrono::seconds(*second) + *fraction;
}

}  // namespace

std::optional<microseconds> ParseLogTime(std::string_view text) {
  std::string unquoted(text);
  std::erase(unquoted, '\'');
  const auto utc = ReadUtc(unquoted);
  return utc ? utc : ReadSeconds(text);
}

}  // namespace clementineloom::ctl::trace
