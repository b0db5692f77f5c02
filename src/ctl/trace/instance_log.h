#pragma once

#include <compare>
#include <cstddef>
#include <string>
#include <vector>

#include "ctl/trace/log_line.h"

namespace clementineloom::ctl::trace {

/// @brief The lines of one log file, each with its instance. An immutable value.
struct InstanceLog {
  std::string file;
  std::vector<LogLine> lines;
  /// Lines that could not be read, or were cut off at the end of the file.
  std::size_t skipped = 0;

  friend auto operator<=>(const InstanceLog&, const InstanceLog&) = default;
};

}  // namespace clementineloom::ctl::trace
