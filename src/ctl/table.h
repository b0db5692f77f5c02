#pragma once

#include <compare>
#include <string>
#include <vector>

namespace clementineloom::ctl {

/// @brief A table of strings. Every row has as many cells as the header. An immutable value.
struct Table {
  std::vector<std::string> header;
  std::vector<std::vector<std::string>> rows;

  friend auto operator<=>(const Table&, const Table&) = default;
};

/// @brief The table with aligned columns, one row per line.
[[nodiscard]] std::string ToText(const Table& table);

}  // namespace clementineloom::ctl
