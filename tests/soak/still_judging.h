#pragma once

namespace clementineloom::soak {

/// @brief When a job that stands still beside room counts as a violation.
enum class StillJudging {
  kNever,
  /// From the end of the traffic on, as the rule asks.
  kCalm,
  /// From the end of the faults on, also while jobs still come.
  kTraffic,
};

}  // namespace clementineloom::soak
