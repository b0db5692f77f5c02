#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief The predicted effect of a plan on a job.
///
/// kStart: a waiting job gets workers. kMove: an active job stops and gets other workers. kWait: a
/// job gets no workers, or loses those it has. kRefuse: a job can never run.
enum class PlanAction : std::uint8_t { kStart, kMove, kWait, kRefuse };

}  // namespace clementineloom
