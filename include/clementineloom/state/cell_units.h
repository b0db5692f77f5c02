#pragma once

#include <cstdint>

#include "clementineloom/model/gang_shape.h"

namespace clementineloom {

/// @brief Whether a job of shape `job` may use all or part of a cell of shape `guaranteed`.
[[nodiscard]] bool FitsInCell(const GangShape& guaranteed, const GangShape& job);

/// @brief Total units of a cell: workers, or accelerators if the cell has one worker.
[[nodiscard]] std::uint32_t CellCapacity(const GangShape& guaranteed);

/// @brief Units of the cell that a job uses. Precondition: FitsInCell(guaranteed, job).
[[nodiscard]] std::uint32_t CellUnits(const GangShape& guaranteed, const GangShape& job);

}  // namespace clementineloom
