#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::ctl::trace {

/// @brief What became of a job, as far as the logs tell.
enum class TraceOutcome : std::uint8_t {
  kRefused,
  kOutcomeUnknown,
  kFailed,
  kCancelled,
  /// Accepted; a run of it ended early or waited, whether or not the job has ended since.
  kDelayed,
  kCompleted,
  /// Accepted; no line tells of its end or of trouble.
  kOpen,
};

/// @brief Name of an outcome in reports.
[[nodiscard]] constexpr std::string_view TraceOutcomeName(TraceOutcome outcome) {
  switch (outcome) {
    case TraceOutcome::kRefused:
      return "refused";
    case TraceOutcome::kOutcomeUnknown:
      return "outcome_unknown";
    case TraceOutcome::kFailed:
      return "failed";
    case TraceOutcome::kCancelled:
      return "cancelled";
    case TraceOutcome::kDelayed:
      return "delayed";
    case TraceOutcome::kCompleted:
      return "completed";
    case TraceOutcome::kOpen:
      return "open";
  }
  return "";
}

}  // namespace clementineloom::ctl::trace
