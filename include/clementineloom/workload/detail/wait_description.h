#pragma once

#include <optional>

#include "clementineloom/workload/detail/guarantee_table.h"
#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/urgent_claims.h"
#include "clementineloom/workload/guarantee_wait.h"

namespace clementineloom::workload::detail {

/// @brief Why a step within its team's guarantee waits, if it has waited for long.
///
/// Precondition: the step was tried, and not all its tasks were placed. Complexity: O(workers).
[[nodiscard]] std::optional<GuaranteeWait> DescribeWait(const StartCandidate& step,
                                                        const PlanRequest& request,
                                                        const RoomTable& rooms,
                                                        const UrgentClaims& claims,
                                                        const GuaranteeTable& guarantees);

}  // namespace clementineloom::workload::detail
