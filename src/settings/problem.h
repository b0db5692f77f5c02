#pragma once

#include <compare>
#include <cstddef>
#include <string>

#include "clementineloom/errors/result_code.h"

namespace clementineloom::settings {

/// @brief An error in a file, with its location. An immutable value.
struct Problem {
  ResultCode code;
  std::string file;
  /// Counted from 1.
  std::size_t line = 0;
  /// Path of the key, for example "teams[1].guarantees[0].count".
  std::string field;
  std::string message;

  friend auto operator<=>(const Problem&, const Problem&) = default;
};

/// @brief "FILE:LINE: NUMBER NAME FIELD: MESSAGE".
[[nodiscard]] std::string ToText(const Problem& problem);

}  // namespace clementineloom::settings
