#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Use of one cell, that is, of one instance of a guaranteed shape, by the guaranteed jobs
/// of its team.
///
/// A unit is a worker, or an accelerator if the shape has a single worker. All jobs in a cell have
/// to run in the same domain: worker, rack or data centre, as given by the shape's adjacency.
struct CellUse {
  std::uint32_t units = 0;
  std::uint32_t domain = 0;

  friend auto operator<=>(const CellUse&, const CellUse&) = default;
};

}  // namespace clementineloom
