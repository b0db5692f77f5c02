#pragma once

#include <string>
#include <string_view>

namespace clementineloom::logging {

/// @brief Appends the value of a key=value pair. Values with spaces, quotes, '=' or control bytes
/// are quoted and escaped, so that they stay one value on one line.
/// Thread safety: that of the line.
void AppendValue(std::string& line, std::string_view value);

}  // namespace clementineloom::logging
