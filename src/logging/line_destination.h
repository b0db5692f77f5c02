#pragma once

#include "logging/log_line.h"

namespace clementineloom::logging {

/// @brief Where a LineWriter writes. Write may block, and is called by one thread only.
template <class T>
concept LineDestination = requires(T destination, const LogLine& line) {
  destination.Write(line);
};

}  // namespace clementineloom::logging
