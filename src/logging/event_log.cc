#include "logging/event_log.h"

#include <log4cxx/asyncappender.h>
#include <log4cxx/basicconfigurator.h>
#include <log4cxx/consoleappender.h>
#include <log4cxx/fileappender.h>
#include <log4cxx/level.h>
#include <log4cxx/logger.h>
#include <log4cxx/logmanager.h>
#include <log4cxx/patternlayout.h>

#include <cstdlib>
#include <exception>
#include <memory>
#include <optional>

#include "logging/format_event.h"

namespace clementineloom::logging {
namespace {

// UTC with milliseconds, then the level; the event's own fields follow. log4cxx writes quotes of a
// date pattern as they are, and takes a Z in it for the time zone.
constexpr const char* kPattern = "time=%d{yyyy-MM-ddTHH:mm:ss.SSS}{UTC}Z level=%p %m%n";

// File name that selects standard output; an empty name selects standard error.
constexpr std::string_view kStandardOutput = "-";

log4cxx::LevelPtr ToLog4cxx(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return log4cxx::Level::getDebug();
    case LogLevel::kInfo:
      return log4cxx::Level::getInfo();
    case LogLevel::kWarning:
      return log4cxx::Level::getWarn();
    case LogLevel::kError:
      break;
  }
  return log4cxx::Level::getError();
}

std::optional<LogLevel> ParseLevel(std::string_view name) {
  if (name == "debug") {
    return LogLevel::kDebug;
  }
  if (name == "info") {
    return LogLevel::kInfo;
  }
  if (name == "warning") {
    return LogLevel::kWarning;
  }
  return name == "error" ? std::optional(LogLevel::kError) : std::nullopt;
}

const log4cxx::LoggerPtr& RootLogger() {
  static const log4cxx::LoggerPtr logger = log4cxx::Logger::getRootLogger();
  return logger;
}

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

// Lines buffered for the writing thread. Further lines are dropped; a summary line counts them by
// severity.
constexpr int kMaxBufferedLines = 4'096;

// Writes on a separate thread, so that a slow reader of the log never blocks a decision.
std::shared_ptr<log4cxx::AsyncAppender> MakeAsyncAppender(const log4cxx::AppenderPtr& appender) {
  auto it = std::make_shared<log4cxx::AsyncAppender>();
  it->setBufferSize(kMaxBufferedLines);
  it->setBlocking(false);
  it->addAppender(appender);
  return it;
}

// Runs at exit; closing the appenders writes the lines that are still buffered.
void CloseLog() {
  for (const log4cxx::AppenderPtr& it : RootLogger()->getAllAppenders()) {
    it->close();
  }
}

}  // namespace

Result<void> ConfigureLog(const std::string& level, const std::string& file) {
  const auto parsed = ParseLevel(level);
  if (!parsed) {
    return Refuse(ResultCode::kInvalidValue, "log_level");
  }
  try {
    RootLogger()->removeAllAppenders();
    RootLogger()->addAppender(MakeAsyncAppender(MakeAppender(file)));
    RootLogger()->setLevel(ToLog4cxx(*parsed));
    std::atexit(&CloseLog);
  } catch (const std::exception& error) {
    return Refuse(ResultCode::kFileUnreadable, file + ": " + error.what());
  }
  return {};
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const log4cxx::LevelPtr log4cxx_level = ToLog4cxx(level);
  if (RootLogger()->isEnabledFor(log4cxx_level)) {
    RootLogger()->forcedLog(log4cxx_level, FormatEvent(event, fields));
  }
}

}  // namespace clementineloom::logging
