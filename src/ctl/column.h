#pragma once

#include <compare>
#include <string_view>

namespace clementineloom::ctl {

/// @brief A column of a table and the object member that it shows.
struct Column {
  std::string_view header;
  /// Names of nested members joined by dots, for example "spec.team".
  std::string_view path;

  friend auto operator<=>(const Column&, const Column&) = default;
};

}  // namespace clementineloom::ctl
