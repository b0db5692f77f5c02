#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/model/adjacency.h"

namespace clementineloom::bench {

/// @brief Capacity that has to be found for a guaranteed shape or for its unused part.
struct CellDemand {
  std::uint32_t workers = 1;
  std::uint16_t accelerators = 0;
  Adjacency adjacency = Adjacency::kWorker;
  /// The required domain, if a job in the same cell already runs there.
  std::optional<std::uint32_t> domain;

  [[nodiscard]] std::uint32_t total() const { return workers * accelerators; }

  friend auto operator<=>(const CellDemand&, const CellDemand&) = default;
};

}  // namespace clementineloom::bench
