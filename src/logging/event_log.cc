#include "logging/event_log.h"

#include <chrono>
#include <cstddef>
#include <cstdlib>
#include <memory>
#include <optional>
#include <utility>

#include "logging/format_event.h"
#include "logging/line_writer.h"
#include "logging/log4cxx_destination.h"
#include "logging/log_route.h"

namespace clementineloom::logging {
namespace {

using ProcessWriter = LineWriter<Log4cxxDestination>;

// Lines that wait for the writing thread.
constexpr std::size_t kMaxBufferedLines = 4'096;

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

// The writer of the process; null before ConfigureLog. Never destroyed, because threads may log
// while the process exits.
std::shared_ptr<ProcessWriter>& WriterInForce() {
  static auto& writer = *new std::shared_ptr<ProcessWriter>();
  return writer;
}

// Runs at exit; writes the lines that are still buffered.
void CloseLog() {
  ExchangeRoute(nullptr);
  WriterInForce()->Stop();
}

void PutInForce(std::shared_ptr<ProcessWriter> writer, LogLevel lowest) {
  ExchangeRoute(std::make_shared<LogRoute>(
      LogRoute{lowest, [writer](LogLine line) { writer->Write(std::move(line)); }}));
  const auto former = std::exchange(WriterInForce(), std::move(writer));
  if (former) {
    former->Stop();
  } else {
    // After the destination is open, so that its static objects are destroyed after CloseLog.
    std::atexit(&CloseLog);
  }
}

}  // namespace

Result<void> ConfigureLog(const std::string& level, const std::string& file) {
  const auto lowest = ParseLevel(level);
  if (!lowest) {
    return Refuse(ResultCode::kInvalidValue, "log_level");
  }
  BOOST_LEAF_AUTO(
      writer, ProcessWriter::Start(kMaxBufferedLines, [file] { return Log4cxxDestination(file); }));
  PutInForce(std::move(writer), *lowest);
  return {};
}

void LogEvent(LogLevel level, std::string_view event, std::initializer_list<LogField> fields) {
  const auto route = CurrentRoute();
  if (route && level >= route->lowest) {
    route->receive(LogLine(level, std::chrono::system_clock::now(), FormatEvent(event, fields)));
  }
}

}  // namespace clementineloom::logging
