#pragma once

#include <cstdint>

#include "clementineloom/model/adjacency.h"

namespace clementineloom::detail {

/// @brief A search for workers: how many, how near, and with how many accelerators each.
struct GangDemand {
  std::uint32_t accelerators = 1;
  std::uint32_t workers = 1;
  Adjacency adjacency = Adjacency::kWorker;

  friend auto operator<=>(const GangDemand&, const GangDemand&) = default;
};

}  // namespace clementineloom::detail
