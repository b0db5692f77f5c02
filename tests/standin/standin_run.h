#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::standin {

/// @brief A run on a stand-in worker. An immutable value.
struct StandInRun {
  std::uint64_t run = 0;
  std::string payload;
  /// Start time, and the share of the work that was done by earlier runs.
  std::int64_t started_at_ms = 0;
  std::int64_t resumed_percent = 0;
  /// Share of full speed at which it may work; its disturbance of others is proportional to it.
  std::int64_t pace_percent = 100;

  friend auto operator<=>(const StandInRun&, const StandInRun&) = default;
};

}  // namespace clementineloom::standin
