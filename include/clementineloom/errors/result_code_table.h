#pragma once

#include <span>
#include <string_view>

#include "clementineloom/errors/result_code.h"

namespace clementineloom {

/// @brief Name and one-line meaning of a result code.
struct ResultCodeEntry {
  const ResultCode code;
  const std::string_view name;
  const std::string_view meaning;

  friend auto operator<=>(const ResultCodeEntry&, const ResultCodeEntry&) = default;
};

/// @brief All result codes in ascending order of number. Thread safety: constant data.
[[nodiscard]] std::span<const ResultCodeEntry> ResultCodeTable();

/// @brief The snake_case name of a code, for logs, metrics and answers; "unknown" for other values.
[[nodiscard]] std::string_view ResultCodeName(ResultCode code);

}  // namespace clementineloom
