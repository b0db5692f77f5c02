#pragma once

#include <cstdint>

#include "clementineloom/model/adjacency.h"

namespace clementineloom::detail {

/// @brief The demand of a gang: number of workers, accelerators on each, and their adjacency.
struct GangDemand {
  std::uint32_t accelerators = 1;
  std::uint32_t workers = 1;
  Adjacency adjacency = Adjacency::kWorker;

  friend auto operator<=>(const GangDemand&, const GangDemand&) = default;
};

}  // namespace clementineloom::detail
