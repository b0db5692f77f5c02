#include "clementineloom/workload/detail/urgent_claims.h"

#include <map>
#include <utility>

#include "clementineloom/workload/detail/room_choice.h"
#include "clementineloom/workload/detail/victim_search.h"

namespace clementineloom::workload::detail {
namespace {

// Whether workers have room for all tasks of a step once all that may be stopped for it has ended.
bool CanHoldAll(const StartCandidate& step, const std::vector<WorkerRoom*>& rooms) {
  auto missing = static_cast<std::int64_t>(step.task_indexes.size());
  for (auto it = rooms.begin(); it != rooms.end() && missing > 0; ++it) {
    const std::int64_t count = FitCount(**it, (*it)->FreeableFor(step), step);
    missing -= count > 0 && IsEligible(*(*it)->worker, step) ? count : 0;
  }
  return missing <= 0;
}

}  // namespace

UrgentClaims::UrgentClaims(const PlanRequest& request, RoomTable& rooms,
                           const GuaranteeTable& guarantees)
    : request_(request), rooms_(rooms), guarantees_(guarantees), budget_(guarantees.shares()) {
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
      room->Hold(amount);
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
  rooms_.ListVictims(guarantees_);
  // Room that is being cleared on several racks is kept even if one rack would now suffice: the
  // work of the runs stopped there is lost already.
  if (step.spec().prefers_one_rack && !WasOnSeveralRacks(step) &&
      (MakeRoomOnOneRack(step) || keeps_to_rack)) {
    return;
  }
  if (step.spec().is_gang && !CanHoldAll(step, rooms_.On({}))) {
    return;
  }
  for (std::size_t n = placed; n < step.task_indexes.size(); ++n) {
    auto choice = KeepPrevious(step, {step.step, step.task_indexes[n]});
    if (!choice) {
      choice = Choose(rooms_.On({}), step, budget_);
    }
    if (!choice) {
      return;
    }
    ApplyChoice(*choice, step, step.task_indexes[n]);
  }
}

bool UrgentClaims::MakeRoomOnOneRack(const StartCandidate& step) {
  std::optional<RackClaim> best;
  if (const WorkerRoom* last = PreviousRoom({step.step, step.task_indexes.front()})) {
    best = TryRack(step, rooms_.On(last->worker->info.rack));
  }
  for (const auto& [name, rack] : rooms_.racks()) {
    if (best && best->cost == StopCost{}) {
      break;
    }
    auto claim = TryRack(step, rack);
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

std::optional<UrgentClaims::RackClaim> UrgentClaims::TryRack(
    const StartCandidate& step, const std::vector<WorkerRoom*>& rack) const {
  if (!CanHoldAll(step, rack)) {
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
    claim.choices.push_back(std::move(*choice));
  }
  return claim;
}

std::optional<UrgentClaims::Choice> UrgentClaims::Choose(const std::vector<WorkerRoom*>& rooms,
                                                         const StartCandidate& step,
                                                         const ReclaimBudget& budget) const {
  const Resources needed = step.spec().Reserved();
  std::optional<Choice> best;
  for (WorkerRoom* it : rooms) {
    if (!needed.FitsIn(it->FreeableFor(step)) || !IsAllowed(*it, step, request_)) {
      continue;
    }
    auto victims = FindVictims(*it, step, budget);
    if (victims && (!best || victims->cost < best->cost)) {
      best = Choice{it, std::move(victims->victims), victims->cost};
      if (best->cost == StopCost{}) {
        break;
      }
    }
  }
  return best;
}

void UrgentClaims::ApplyChoice(const Choice& choice, const StartCandidate& step,
                               std::uint32_t index) {
  for (const Victim& it : choice.victims) {
    budget_.Stop(it);
    rooms_.Stop(*choice.room, *it.run);
    preemptions_.push_back({choice.room->worker->info.id, it.run->run, {step.step, index}});
  }
  choice.room->Take(step.step, step.spec());
  claims_.push_back({{step.step, index}, choice.room->worker->info.id});
}

}  // namespace clementineloom::workload::detail
