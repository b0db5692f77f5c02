#pragma once

#include <concepts>
#include <string>
#include <string_view>
#include <utility>

namespace clementineloom::logging {

/// @brief One key=value pair of a log line. An immutable value.
class LogField {
 public:
  LogField(std::string_view key, std::string_view value) : key_(key), value_(value) {}
  LogField(std::string_view key, const char* value) : key_(key), value_(value) {}

  template <std::integral T>
  LogField(std::string_view key, T value) : key_(key), value_(std::to_string(value)) {}

  [[nodiscard]] const std::string& key() const { return key_; }
  [[nodiscard]] const std::string& value() const { return value_; }

  friend auto operator<=>(const LogField&, const LogField&) = default;

 private:
  std::string key_;
  std::string value_;
};

}  // namespace clementineloom::logging
