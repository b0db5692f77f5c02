#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::standin {

/// @brief A run on a stand-in worker. An immutable value.
struct StandInRun {
  std::uint64_t run = 0;
  std::string payload;

  friend auto operator<=>(const StandInRun&, const StandInRun&) = default;
};

}  // namespace clementineloom::standin
