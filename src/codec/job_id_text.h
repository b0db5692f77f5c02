#pragma once

#include <cstddef>
#include <string_view>

namespace clementineloom::codec {

/// @brief Whether a text has the form of a job id of the entry instances, which the caller chooses:
/// 16 hexadecimal digits. Thread safety: pure function.
[[nodiscard]] inline bool IsJobIdText(std::string_view text) {
  constexpr std::size_t kDigits = 16;
  return text.size() == kDigits &&
         text.find_first_not_of("0123456789abcdefABCDEF") == std::string_view::npos;
}

}  // namespace clementineloom::codec
