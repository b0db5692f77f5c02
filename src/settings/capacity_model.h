#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "clementineloom/model/gang_shape.h"
#include "settings/worker_shape.h"

namespace clementineloom::settings {

/// @brief Checks whether shapes fit together into an empty cluster, by the free accelerators of
/// every worker.
///
/// Best fit: Place chooses the domain and the workers with the fewest free accelerators that
/// suffice. Optimal packing is NP-hard, so a set of shapes may be refused although some packing
/// holds it; a set that is accepted does fit.
/// Thread safety: none.
class CapacityModel {
 public:
  explicit CapacityModel(std::span<const WorkerShape> shapes);

  /// @brief Takes the accelerators of a shape. @return false, without effect, if it does not fit.
  [[nodiscard]] bool Place(const GangShape& shape);

 private:
  struct WorkerSlot {
    std::uint32_t data_centre;
    std::uint32_t rack;
    std::uint32_t free;
  };

  [[nodiscard]] std::uint32_t DomainOf(std::size_t worker, Adjacency adjacency) const;
  [[nodiscard]] std::vector<std::size_t> ChooseWorkers(const GangShape& shape) const;

  // Ordered by data centre and rack, so that every domain is contiguous.
  std::vector<WorkerSlot> workers_;
};

}  // namespace clementineloom::settings
