#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::entry {

/// @brief What a record says of a job that has not ended.
enum class JobEventKind : std::uint8_t { kSubmitted, kStartRecorded, kRunEnded, kTaskDone };

/// @brief The name of a kind in the log.
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr std::string_view JobEventName(JobEventKind kind) {
  switch (kind) {
    case JobEventKind::kSubmitted:
      return "submitted";
    case JobEventKind::kStartRecorded:
      return "start_recorded";
    case JobEventKind::kRunEnded:
      return "run_ended";
    case JobEventKind::kTaskDone:
      return "task_done";
  }
  return {};
}

}  // namespace clementineloom::entry
