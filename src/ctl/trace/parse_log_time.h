#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace clementineloom::ctl::trace {

/// @brief Reads "YYYY-MM-DDTHH:MM:SS.sssZ", also with single quotes around T and Z as earlier
/// versions logged them, or seconds such as "19.6587" as some collectors write them; nothing for
/// other text. Thread safety: a pure function.
[[nodiscard]] std::optional<std::chrono::microseconds> ParseLogTime(std::string_view text);

}  // namespace clementineloom::ctl::trace
