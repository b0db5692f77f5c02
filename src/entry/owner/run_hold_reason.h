#pragma once

#include <cstdint>
#include <string_view>

namespace clementineloom::entry {

/// @brief Why a run holds room although it is not known to be at work.
enum class RunHoldReason : std::uint8_t {
  /// The outcome of its last order is not known yet.
  kOutcome,
  /// Its worker does not answer, and the lease may last.
  kLease,
  /// A copy of its order to start that had no answer may still be carried out.
  kLateStart,
};

/// @brief The name of a reason in the log.
/// Thread safety: may be called from any thread.
[[nodiscard]] constexpr std::string_view RunHoldReasonName(RunHoldReason reason) {
  switch (reason) {
    case RunHoldReason::kOutcome:
      return "outcome";
    case RunHoldReason::kLease:
      return "lease";
    case RunHoldReason::kLateStart:
      return "late_start";
  }
  return {};
}

}  // namespace clementineloom::entry
