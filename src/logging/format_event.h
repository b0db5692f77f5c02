#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

#include "logging/log_field.h"

namespace clementineloom::logging {

/// @brief Formats "event=NAME key=value ...". Values with spaces, quotes or control bytes are
/// quoted and escaped, so that a line is always one line.
[[nodiscard]] std::string FormatEvent(std::string_view event,
                                      std::initializer_list<LogField> fields);

}  // namespace clementineloom::logging
