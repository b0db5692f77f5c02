#pragma once

#include <log4cxx/appender.h>

#include <string>

#include "logging/log_line.h"

namespace clementineloom::logging {

/// @brief Writes lines to a file, standard output or standard error through log4cxx.
///
/// Thread safety: none; create, use and destroy it in one thread. log4cxx shares its objects
/// between threads in ways that ThreadSanitizer cannot follow.
class Log4cxxDestination {
 public:
  /// @param file path, "-" for standard output, or empty for standard error
  /// Throws an exception of log4cxx if the file cannot be opened.
  explicit Log4cxxDestination(const std::string& file);

  /// @brief Writes the line at once; blocks as long as the reader of a pipe does not read. A line
  /// that cannot be written, for example because the disk is full, is lost.
  void Write(const LogLine& line);

 private:
  log4cxx::AppenderPtr appender_;
};

}  // namespace clementineloom::logging
