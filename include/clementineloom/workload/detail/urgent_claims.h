#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/guarantee_table.h"
#include "clementineloom/workload/detail/reclaim_budget.h"
#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/team_usage_table.h"
#include "clementineloom/workload/preemption.h"
#include "clementineloom/workload/room_claim.h"

namespace clementineloom::workload::detail {

/// @brief Claims room for urgent tasks that found none, and stops less urgent runs for it.
///
/// Each plan renews a claim until the room is free. The claims of the last plan come first, so that
/// the runs which it stopped end for the tasks that they were stopped for.
/// Thread safety: none.
class UrgentClaims {
 public:
  /// @param request, rooms, guarantees and usage have to outlive it; guarantees with all steps
  /// admitted
  UrgentClaims(const PlanRequest& request, RoomTable& rooms, const GuaranteeTable& guarantees,
               const TeamUsageTable& usage);

  /// @brief Keeps the room that the last plan claimed for a step from all other steps.
  void Hold(const StartCandidate& step);

  /// @brief Releases the room that is held for a step, before the step is placed.
  void Release(const StartCandidate& step);

  /// @brief Claims room for the tasks of a step. Precondition: none is held for it.
  /// @param placed tasks of it, from the first, that have been given room
  /// @param keeps_to_rack whether a step that prefers one rack gets room on one only
  void MakeRoom(const StartCandidate& step, std::size_t placed, bool keeps_to_rack);

  [[nodiscard]] const std::vector<Preemption>& preemptions() const { return preemptions_; }
  [[nodiscard]] const std::vector<RoomClaim>& claims() const { return claims_; }

 private:
  struct Choice {
    WorkerRoom* room = nullptr;
    std::vector<Victim> victims;
    StopCost cost;
  };
  struct RackClaim {
    std::vector<Choice> choices;
    StopCost cost;
  };

  // Holds an amount for each task in the room that the last plan claimed for it.
  void HoldEach(const StartCandidate& step, const Resources& amount);
  // Claims room for the tasks from one on, each wherever that costs least.
  void MakeRoomAnywhere(const StartCandidate& step, std::size_t placed);
  // Returns whether any rack can hold all tasks.
  bool MakeRoomOnOneRack(const StartCandidate& step);
  // Whether the last plan claimed room for a step on more than one rack.
  [[nodiscard]] bool WasOnSeveralRacks(const StartCandidate& step) const;
  // Tries to claim room for all tasks on copies of the rack's rooms, for less than a limit if there
  // is one.
  [[nodiscard]] std::optional<RackClaim> TryRack(const StartCandidate& step,
                                                 const std::vector<WorkerRoom*>& rack,
                                                 const StopCost* limit) const;
  // The room that the last plan claimed for a task, or null.
  [[nodiscard]] WorkerRoom* PreviousRoom(const TaskId& task) const;
  // The same room, if it is or becomes free without another stop.
  [[nodiscard]] std::optional<Choice> KeepPrevious(const StartCandidate& step,
                                                   const TaskId& task) const;
  // The room that can be made for one task at the lowest cost.
  [[nodiscard]] std::optional<Choice> Choose(const std::vector<WorkerRoom*>& rooms,
                                             const StartCandidate& step,
                                             const ReclaimBudget& budget) const;
  // The same on one room, for less than a limit if there is one.
  [[nodiscard]] std::optional<Choice> ChoiceOn(WorkerRoom& room, const StartCandidate& step,
                                               const ReclaimBudget& budget,
                                               const StopCost* limit) const;
  // The choices of all rooms, in their order; nothing for a room that cannot be made.
  [[nodiscard]] std::vector<std::optional<Choice>> ChoicesOfAll(const StartCandidate& step) const;
  static std::optional<Choice> CheapestOf(const std::vector<std::optional<Choice>>& choices);
  // Returns the rooms that change; some may be listed twice.
  std::vector<WorkerRoom*> ApplyChoice(const Choice& choice, const StartCandidate& step,
                                       std::uint32_t index);

  const PlanRequest& request_;
  RoomTable& rooms_;
  const GuaranteeTable& guarantees_;
  const TeamUsageTable& usage_;
  ReclaimBudget budget_;
  std::vector<Preemption> preemptions_;
  std::vector<RoomClaim> claims_;
  std::map<TaskId, WorkerRoom*> previous_rooms_;
};

}  // namespace clementineloom::workload::detail
