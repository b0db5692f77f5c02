#pragma once

#include <compare>
#include <cstdint>
#include <string>

namespace clementineloom::settings {

/// @brief Equal racks of equal workers in one data centre, for the capacity check.
struct WorkerShape {
  std::string data_centre;
  std::uint32_t racks = 1;
  std::uint32_t workers_per_rack = 1;
  std::uint32_t accelerators = 8;

  friend auto operator<=>(const WorkerShape&, const WorkerShape&) = default;
};

}  // namespace clementineloom::settings
