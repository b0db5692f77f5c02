#include "logging/log4cxx_destination.h"

#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/helpers/pool.h>
#include <log4cxx/level.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/spi/location/locationinfo.h>
#include <log4cxx/spi/loggingevent.h>

#include <exception>
#include <memory>
#include <string_view>

#include "logging/format_line.h"

namespace clementineloom::logging {
namespace {

// Lines are formatted before they reach log4cxx.
constexpr const char* kPattern = "%m%n";

// File name that selects standard output; an empty name selects standard error.
constexpr std::string_view kStandardOutput = "-";

constexpr const char* kLoggerName = "root";

log4cxx::AppenderPtr MakeAppender(const std::string& file) {
  const auto layout = std::make_shared<log4cxx::PatternLayout>(kPattern);
  if (file.empty()) {
    return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                      log4cxx::ConsoleAppender::getSystemErr());
  }
  if (file == kStandardOutput) {
    return std::make_shared<log4cxx::ConsoleAppender>(layout,
                                                      log4cxx::ConsoleAppender::getSystemOut());
  }
  return std::make_shared<log4cxx::FileAppender>(layout, file, true);
}

log4cxx::spi::LoggingEventPtr MakeEvent(const std::string& text) {
  // The appender has no threshold: the level is part of the text and does not matter here.
  return std::make_shared<log4cxx::spi::LoggingEvent>(
      kLoggerName, log4cxx::Level::getInfo(), text,
      log4cxx::spi::LocationInfo::getLocationUnavailable());
}

}  // namespace

Log4cxxDestination::Log4cxxDestination(const std::string& file) : appender_(MakeAppender(file)) {
  // log4cxx creates static objects when they are first used. At exit they are destroyed before the
  // last lines are written, unless they exist before the exit handler of the log is registered.
  std::string text;
  log4cxx::helpers::Pool pool;
  appender_->getLayout()->format(text, MakeEvent(text), pool);
}

void Log4cxxDestination::Write(const LogLine& line) {
  try {
    log4cxx::helpers::Pool pool;
    appender_->doAppend(MakeEvent(FormatLine(line)), pool);
  } catch (const std::exception&) {
    // There is nowhere to report that the log cannot be written.
  }
}

}  // namespace clementineloom::logging
