#pragma once

#include <chrono>
#include <compare>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace clementineloom::ctl::trace {

/// @brief One event in the log of an entry instance. An immutable value.
struct LogLine {
  /// Since 1970-01-01, or since the collector's own zero if it writes seconds.
  std::chrono::microseconds time{0};
  /// The time as the log shows it.
  std::string time_text;
  /// Empty if the line does not name it.
  std::string instance;
  std::string level;
  std::string event;
  /// The other fields in the order of the line.
  std::vector<std::pair<std::string, std::string>> fields;

  /// @brief The value of a field; empty if the line lacks it.
  [[nodiscard]] std::string_view Field(std::string_view key) const {
    for (const auto& [name, value] : fields) {
      if (name == key) {
        return value;
      }
    }
    return {};
  }

  friend auto operator<=>(const LogLine&, const LogLine&) = default;
};

}  // namespace clementineloom::ctl::trace
