#include "logging/drop_counter.h"

#include <string>
#include <utility>

#include "logging/format_event.h"

namespace clementineloom::logging {

void DropCounter::Count(LogLine dropped) {
  const std::scoped_lock lock(mutex_);
  ++lines_;
  warnings_ += dropped.level() == LogLevel::kWarning ? 1 : 0;
  errors_ += dropped.level() == LogLevel::kError ? 1 : 0;
  if (!most_severe_ || dropped.level() > most_severe_->level()) {
    most_severe_.emplace(std::move(dropped));
  }
}

std::optional<LogLine> DropCounter::TakeSummary(LogLine::Time now) {
  const std::scoped_lock lock(mutex_);
  if (!most_severe_) {
    return std::nullopt;
  }
  const std::string detail =
      "Discarded " + std::to_string(lines_) + " lines because the buffer was full";
  LogLine summary(most_severe_->level(), now,
                  FormatEvent("log_lines_dropped", {{"lines", lines_},
                                                    {"warnings", warnings_},
                                                    {"errors", errors_},
                                                    {"detail", detail},
                                                    {"most_severe", most_severe_->event()}}));
  lines_ = 0;
  warnings_ = 0;
  errors_ = 0;
  most_severe_.reset();
  return summary;
}

}  // namespace clementineloom::logging
