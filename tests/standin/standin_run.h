#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::standin {

/// @brief A run on a stand-in worker. An immutable value.
struct StandInRun {
  std::uint64_t run = 0;
  std::string payload;
  /// When it began, and the share of the work that was done before.
  std::int64_t began_ms = 0;
  std::int64_t resumed_percent = 0;
  /// Share of its speed at which it may work and disturb others.
  std::int64_t pace_percent = 100;

  friend auto operator<=>(const StandInRun&, const StandInRun&) = default;
};

}  // namespace clementineloom::standin
