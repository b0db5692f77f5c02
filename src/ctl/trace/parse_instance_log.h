#pragma once

#include <string>
#include <string_view>

#include "ctl/trace/instance_log.h"

namespace clementineloom::ctl::trace {

/// @brief Reads the text of a log file.
///
/// The instance of a line is the one that the line names, else that of the last `started` event
/// before it (or of the first one, for lines in front of it), else the file's name without folder
/// and extension. Lines that cannot be read, and a last line without its end, are counted and left
/// out. Thread safety: a pure function.
[[nodiscard]] InstanceLog ParseInstanceLog(const std::string& file, std::string_view text);

}  // namespace clementineloom::ctl::trace
