#include "clementineloom/workload/detail/urgent_claims.h"

#include <algorithm>
#include <map>
#include <utility>

#include "clementineloom/workload/detail/room_choice.h"
#include "clementineloom/workload/detail/victim_search.h"

namespace clementineloom::workload::detail {
namespace {

// Whether workers that the step may run on have room for all its tasks once all that may be stopped
// for it has ended.
bool CanHoldAll(const StartCandidate& step, const std::vector<WorkerRoom*>& rooms,
                const PlanRequest& request) {
  auto missing = static_cast<std::int64_t>(step.task_indexes.size());
  for (auto it = rooms.begin(); it != rooms.end() && missing > 0; ++it) {
    const std::int64_t count = FitCount(**it, (*it)->FreeableFor(step), step);
    missing -= count > 0 && IsAllowed(**it, step, request) ? count : 0;
  }
  return missing <= 0;
}

}  // namespace

UrgentClaims::UrgentClaims(const PlanRequest& request, RoomTable& rooms,
                           const GuaranteeTable& guarantees, const TeamUsageTable& usage)
    : request_(request),
      rooms_(rooms),
      guarantees_(guarantees),
      usage_(usage),
      budget_(guarantees.shares()) {
  for (const RoomClaim& it : request.claims) {
    if (WorkerRoom* room = rooms.Find(it.worker)) {
      previous_rooms_.emplace(it.task, room);
    }
  }
}

void UrgentClaims::Hold(const StartCandidate& step) { HoldEach(step, step.spec().Reserved()); }

void UrgentClaims::Release(const StartCandidate& step) {
  HoldEach(step, Resources{} - step.spec().Reserved());
}

void UrgentClaims::HoldEach(const StartCandidate& step, const Resources& amount) {
  for (const std::uint32_t index : step.task_indexes) {
    if (WorkerRoom* room = PreviousRoom({step.step, index})) {
      rooms_.Hold(*room, amount);
    }
  }
}

WorkerRoom* UrgentClaims::PreviousRoom(const TaskId& task) const {
  const auto it = previous_rooms_.find(task);
  return it == previous_rooms_.end() ? nullptr : it->second;
}

std::optional<UrgentClaims::Choice> UrgentClaims::KeepPrevious(const StartCandidate& step,
                                                               const TaskId& task) const {
  WorkerRoom* room = PreviousRoom(task);
  const bool is_kept = room != nullptr && FitCount(*room, room->free_later, step) > 0 &&
                       IsAllowed(*room, step, request_);
  return is_kept ? std::optional(Choice{room, {}, {}}) : std::nullopt;
}

void UrgentClaims::MakeRoom(const StartCandidate& step, std::size_t placed, bool keeps_to_rack) {
  rooms_.ListVictims(guarantees_, usage_);
  // Room that is being cleared on several racks is kept even if one rack would now suffice: the
  // work of the runs stopped there is lost already.
  if (step.spec().prefers_one_rack && !WasOnSeveralRacks(step) &&
      (MakeRoomOnOneRack(step) || keeps_to_rack)) {
    return;
  }
  if (step.spec().is_gang && !CanHoldAll(step, rooms_.On({}), request_)) {
    return;
  }
  MakeRoomAnywhere(step, placed);
}

void UrgentClaims::MakeRoomAnywhere(const StartCandidate& step, std::size_t placed) {
  // The choice of each room, filled when it is first needed; only rooms that change are looked at
  // again for the next task.
  std::vector<std::optional<Choice>> choices;
  for (std::size_t n = placed; n < step.task_indexes.size(); ++n) {
    auto choice = KeepPrevious(step, {step.step, step.task_indexes[n]});
    if (!choice) {
      if (choices.empty()) {
        choices = ChoicesOfAll(step);
      }
      choice = CheapestOf(choices);
    }
    if (!choice) {
      return;
    }
    const std::vector<WorkerRoom*> changed = ApplyChoice(*choice, step, step.task_indexes[n]);
    const bool is_budget_changed =
        std::any_of(choice->victims.begin(), choice->victims.end(),
                    [](const Victim& it) { return it.team.has_value(); });
    if (is_budget_changed) {
      choices.clear();
    } else if (!choices.empty()) {
      for (WorkerRoom* it : changed) {
        choices[rooms_.PositionOf(*it)] = ChoiceOn(*it, step, budget_, nullptr);
      }
    }
  }
}

std::vector<std::optional<UrgentClaims::Choice>> UrgentClaims::ChoicesOfAll(
    const StartCandidate& step) const {
  std::vector<std::optional<Choice>> choices;
  choices.reserve(rooms_.On({}).size());
  for (WorkerRoom* it : rooms_.On({})) {
    choices.push_back(ChoiceOn(*it, step, budget_, nullptr));
  }
  return choices;
}

std::optional<UrgentClaims::Choice> UrgentClaims::CheapestOf(
    const std::vector<std::optional<Choice>>& choices) {
  const std::optional<Choice>* best = nullptr;
  for (const std::optional<Choice>& it : choices) {
    if (it && (best == nullptr || it->cost < (*best)->cost)) {
      best = &it;
    }
  }
  return best == nullptr ? std::nullopt : *best;
}

bool UrgentClaims::MakeRoomOnOneRack(const StartCandidate& step) {
  std::optional<RackClaim> best;
  if (const WorkerRoom* last = PreviousRoom({step.step, step.task_indexes.front()})) {
    best = TryRack(step, rooms_.On(last->worker->info.rack), nullptr);
  }
  for (const auto& [name, rack] : rooms_.racks()) {
    if (best && best->cost == StopCost{}) {
      break;
    }
    auto claim = TryRack(step, rack.rooms, best ? &best->cost : nullptr);
    if (claim && (!best || claim->cost < best->cost)) {
      best = std::move(claim);
    }
  }
  if (best) {
    for (std::size_t n = 0; n < best->choices.size(); ++n) {
      ApplyChoice(best->choices[n], step, step.task_indexes[n]);
    }
  }
  return best.has_value();
}

bool UrgentClaims::WasOnSeveralRacks(const StartCandidate& step) const {
  const std::string* rack = nullptr;
  for (const std::uint32_t index : step.task_indexes) {
    const WorkerRoom* room = PreviousRoom({step.step, index});
    if (room != nullptr && rack != nullptr && room->worker->info.rack != *rack) {
      return true;
    }
    rack = room == nullptr ? rack : &room->worker->info.rack;
  }
  return false;
}

std::optional<UrgentClaims::RackClaim> UrgentClaims::TryRack(const StartCandidate& step,
                                                             const std::vector<WorkerRoom*>& rack,
                                                             const StopCost* limit) const {
  if (!CanHoldAll(step, rack, request_)) {
    return std::nullopt;
  }
  const std::size_t needed = step.task_indexes.size();
  std::vector<WorkerRoom> copies;
  std::map<const WorkerRoom*, WorkerRoom*> originals;
  copies.reserve(rack.size());
  std::vector<WorkerRoom*> trial;
  for (WorkerRoom* it : rack) {
    trial.push_back(&copies.emplace_back(*it));
    originals[trial.back()] = it;
  }
  ReclaimBudget budget = budget_;
  RackClaim claim;
  for (std::size_t n = 0; n < needed; ++n) {
    auto choice = Choose(trial, step, budget);
    if (!choice) {
      return std::nullopt;
    }
    for (const Victim& it : choice->victims) {
      choice->room->Stop(*it.run);
      budget.Stop(it);
    }
    choice->room->Take(step.step, step.spec());
    choice->room = originals.at(choice->room);
    claim.cost = claim.cost + choice->cost;
    if (limit != nullptr && claim.cost >= *limit) {
      return std::nullopt;
    }
    claim.choices.push_back(std::move(*choice));
  }
  return claim;
}

std::optional<UrgentClaims::Choice> UrgentClaims::ChoiceOn(WorkerRoom& room,
                                                           const StartCandidate& step,
                                                           const ReclaimBudget& budget,
                                                           const StopCost* limit) const {
  if (!step.spec().Reserved().FitsIn(room.FreeableFor(step)) || !IsAllowed(room, step, request_)) {
    return std::nullopt;
  }
  auto victims = FindVictims(room, step, budget, limit);
  return victims ? std::optional(Choice{&room, std::move(victims->victims), victims->cost})
                 : std::nullopt;
}

std::optional<UrgentClaims::Choice> UrgentClaims::Choose(const std::vector<WorkerRoom*>& rooms,
                                                         const StartCandidate& step,
                                                         const ReclaimBudget& budget) const {
  std::optional<Choice> best;
  for (WorkerRoom* it : rooms) {
    auto choice = ChoiceOn(*it, step, budget, best ? &best->cost : nullptr);
    if (choice && (!best || choice->cost < best->cost)) {
      best = std::move(choice);
      if (best->cost == StopCost{}) {
        break;
      }
    }
  }
  return best;
}

std::vector<WorkerRoom*> UrgentClaims::ApplyChoice(const Choice& choice, const StartCandidate& step,
                                                   std::uint32_t index) {
  std::vector<WorkerRoom*> changed{choice.room};
  for (const Victim& it : choice.victims) {
    budget_.Stop(it);
    const std::vector<WorkerRoom*> stopped_on = rooms_.Stop(*choice.room, *it.run);
    changed.insert(changed.end(), stopped_on.begin(), stopped_on.end());
    preemptions_.push_back({choice.room->worker->info.id, it.run->run, {step.step, index}});
  }
  rooms_.Take(*choice.room, step);
  claims_.push_back({{step.step, index}, choice.room->worker->info.id});
  return changed;
}

}  // namespace clementineloom::workload::detail
