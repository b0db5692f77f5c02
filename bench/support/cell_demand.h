#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/model/adjacency.h"

namespace clementineloom::bench {

/// @brief A guaranteed shape, or what is left of one, that has to find room.
struct CellDemand {
  std::uint32_t workers = 1;
  std::uint16_t accelerators = 0;
  Adjacency adjacency = Adjacency::kWorker;
  /// The only domain that will do, because a job in the same cell already runs there.
  std::optional<std::uint32_t> domain;

  [[nodiscard]] std::uint32_t total() const { return workers * accelerators; }

  friend auto operator<=>(const CellDemand&, const CellDemand&) = default;
};

}  // namespace clementineloom::bench
