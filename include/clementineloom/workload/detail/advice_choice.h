#pragma once

#include <string>
#include <vector>

#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief Chooses the workers that the next question of a step names, the most suitable first; none
/// if it has asked about all that have room for it.
///
/// The fewer workers a question names, the sooner it is answered and the sooner the next step can
/// ask. It names enough for the tasks of the step with some that may not be approved, and more with
/// each question, as far as the answer arrives in time. A gang asks about enough for all members at
/// once, so that the first tickets are still valid when the last ones arrive.
/// Precondition: the queue of the step needs advice. Thread safety: a pure function.
/// @param may_stop_runs whether workers count on which room can be made for the step
[[nodiscard]] std::vector<std::string> ChooseWorkersToAskAbout(const StartCandidate& step,
                                                               const PlanRequest& request,
                                                               const RoomTable& rooms,
                                                               bool may_stop_runs);

}  // namespace clementineloom::workload::detail
