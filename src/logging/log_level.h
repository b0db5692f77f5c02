#pragma once

#include <cstdint>

namespace clementineloom::logging {

/// @brief Severity of a log line, lowest first.
enum class LogLevel : std::uint8_t { kDebug, kInfo, kWarning, kError };

}  // namespace clementineloom::logging
