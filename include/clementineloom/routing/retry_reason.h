#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom {

/// @brief Why a request was sent to another upstream.
enum class RetryReason : std::uint8_t { kDidNotRun, kFailed, kTimedOut, kTruncated };

/// @brief The snake_case name, for metrics.
[[nodiscard]] constexpr std::string_view RetryReasonName(RetryReason reason) {
  switch (reason) {
    case RetryReason::kDidNotRun:
      return "did_not_run";
    case RetryReason::kFailed:
      return "failed";
    case RetryReason::kTimedOut:
      return "timed_out";
    case RetryReason::kTruncated:
      return "truncated";
  }
  return "failed";
}

}  // namespace clementineloom
