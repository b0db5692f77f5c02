#pragma once

#include <functional>
#include <memory>

#include "logging/log_level.h"
#include "logging/log_line.h"

namespace clementineloom::logging {

/// @brief What becomes of the events of the process.
struct LogRoute {
  /// Events below this level are not formatted.
  LogLevel lowest = LogLevel::kInfo;
  /// Called in the thread that logs, by several threads at once; must not block.
  std::function<void(LogLine)> receive;
};

/// @brief The route in force; null as long as events are discarded. Thread safety: any thread.
[[nodiscard]] std::shared_ptr<const LogRoute> CurrentRoute();

/// @brief Puts a route in force, or discards events if it is null. Threads that are logging may
/// still use the former route. Thread safety: any thread. @return the former route
std::shared_ptr<const LogRoute> ExchangeRoute(std::shared_ptr<const LogRoute> route);

}  // namespace clementineloom::logging
