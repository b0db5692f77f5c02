#include "clementineloom/state/cell_units.h"

namespace clementineloom {

bool FitsInCell(const GangShape& guaranteed, const GangShape& job) {
  return job.accelerators_per_worker() <= guaranteed.accelerators_per_worker() &&
         job.workers() <= guaranteed.workers() &&
         (job.workers() == 1 || job.adjacency() >= guaranteed.adjacency());
}

std::uint32_t CellCapacity(const GangShape& guaranteed) {
  return guaranteed.workers() == 1 ? guaranteed.accelerators_per_worker() : guaranteed.workers();
}

std::uint32_t CellUnits(const GangShape& guaranteed, const GangShape& job) {
  return guaranteed.workers() == 1 ? job.accelerators_per_worker() : job.workers();
}

}  // namespace clementineloom
