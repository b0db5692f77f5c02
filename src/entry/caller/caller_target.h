#pragma once

#include <compare>
#include <string>

namespace clementineloom::entry {

/// @brief What a caller's request asks for, in the log. An immutable value.
struct CallerTarget {
  std::string method;
  std::string path;
  /// Who is answered: "caller" or "peer".
  std::string asker;

  friend auto operator<=>(const CallerTarget&, const CallerTarget&) = default;
};

}  // namespace clementineloom::entry
