#pragma once

#include <compare>
#include <optional>
#include <vector>

#include "clementineloom/workload/advice_question.h"
#include "clementineloom/workload/guarantee_wait.h"
#include "clementineloom/workload/planned_start.h"
#include "clementineloom/workload/preemption.h"
#include "clementineloom/workload/room_claim.h"
#include "clementineloom/workload/urgent_load.h"

namespace clementineloom::workload {

/// @brief What one planning pass decided. An immutable value.
struct StartPlan {
  std::vector<PlannedStart> starts;
  std::vector<Preemption> preemptions;
  /// Where urgent tasks wait for room; the next plan has to know them.
  std::vector<RoomClaim> claims;
  /// Urgent steps within their guarantees that have waited for long.
  std::vector<GuaranteeWait> waits;
  /// The urgent work of each service, from which the next plan's reserve is forecast.
  UrgentLoads urgent_loads;
  /// The same by team, where teams have quotas.
  UrgentLoads team_urgent_loads;
  /// Question of the step whose turn it is among those that lack approved workers with room.
  std::optional<AdviceQuestion> question;

  friend auto operator<=>(const StartPlan&, const StartPlan&) = default;
};

}  // namespace clementineloom::workload
