#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>

#include "settings/value_kind.h"

namespace clementineloom::settings {

/// @brief The rule for one key, for the checker and for the tables of docs/configuration.md.
struct KeySpec {
  std::string_view key;
  ValueKind kind = ValueKind::kText;
  /// Unit of a number; empty for a count.
  std::string_view unit = {};
  /// Inclusive range of a number.
  std::uint64_t min = 0;
  std::uint64_t max = 0;
  bool is_required = true;
  /// Default of an optional key, as written in the file.
  std::string fallback = {};
  std::string_view meaning = {};

  friend auto operator<=>(const KeySpec&, const KeySpec&) = default;
};

/// @brief The row of a key in the tables of docs/configuration.md.
[[nodiscard]] std::string MarkdownRow(const KeySpec& spec);

}  // namespace clementineloom::settings
