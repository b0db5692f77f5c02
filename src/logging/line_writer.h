#pragma once

#include <chrono>
#include <cstddef>
#include <exception>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/duty_thread.h"
#include "clementineloom/errors/result.h"
#include "logging/drop_counter.h"
#include "logging/line_destination.h"
#include "logging/log_line.h"

namespace clementineloom::logging {

/// @brief The duty that writes the log: callers queue lines in a bounded ring, and a thread of its
/// own creates, uses and destroys the destination.
///
/// Thread safety: Write may be called from any thread, Stop and the destructor from one.
template <LineDestination Destination>
class LineWriter {
 public:
  /// @brief Starts the thread and waits until it has opened the destination.
  /// @param capacity lines that wait to be written; precondition: > 0
  /// @param open callable that returns the destination or throws; called by the writing thread
  /// Errors: kFileUnreadable with the message of what open has thrown.
  template <class Open>
  [[nodiscard]] static Result<std::unique_ptr<LineWriter>> Start(std::size_t capacity, Open open) {
    std::promise<OpenError> opened;
    std::future<OpenError> outcome = opened.get_future();
    std::unique_ptr<LineWriter> writer(
        new LineWriter(capacity, std::move(open), std::move(opened)));
    if (const OpenError error = outcome.get()) {
      return Refuse(ResultCode::kFileUnreadable, *error);
    }
    return writer;
  }

  LineWriter(const LineWriter&) = delete;
  LineWriter& operator=(const LineWriter&) = delete;

  ~LineWriter() { Stop(); }

  /// @brief Queues a line without waiting for the destination. A line that finds the ring full is
  /// dropped and counted in a summary line; after Stop, it is dropped.
  void Write(LogLine line) {
    (void)lines_.TryPush(std::move(line),
                         [this](LogLine&& dropped) { dropped_.Count(std::move(dropped)); });
  }

  /// @brief Refuses further lines and returns once all queued ones are written, which takes as long
  /// as the destination blocks.
  void Stop() {
    lines_.Close();
    thread_.Join();
  }

 private:
  // A message and no exception, so that no object of the destination's library changes threads.
  using OpenError = std::optional<std::string>;

  template <class Open>
  LineWriter(std::size_t capacity, Open open, std::promise<OpenError> opened)
      : lines_(capacity),
        thread_("log", [this, open = std::move(open), opened = std::move(opened)]() mutable {
          Run(open, opened);
        }) {}

  template <class Open>
  void Run(Open& open, std::promise<OpenError>& opened) {
    std::optional<Destination> destination;
    try {
      destination.emplace(open());
    } catch (const std::exception& error) {
      opened.set_value(error.what());
      return;
    }
    opened.set_value(std::nullopt);
    WriteLines(*destination);
  }

  void WriteLines(Destination& destination) {
    std::size_t lines_since_summary = 0;
    while (const auto line = lines_.Pop()) {
      destination.Write(*line);
      // Lines are dropped only while the ring is full, so that each drop is counted before the
      // ring is empty again. Under lasting overload the ring is never empty.
      if (++lines_since_summary >= lines_.capacity() || lines_.size() == 0) {
        WriteSummary(destination);
        lines_since_summary = 0;
      }
    }
    WriteSummary(destination);
  }

  void WriteSummary(Destination& destination) {
    if (const auto summary = dropped_.TakeSummary(std::chrono::system_clock::now())) {
      destination.Write(*summary);
    }
  }

  BoundedRing<LogLine> lines_;
  DropCounter dropped_;
  // Last, so that the thread is joined before what it uses is destroyed.
  DutyThread thread_;
};

}  // namespace clementineloom::logging
