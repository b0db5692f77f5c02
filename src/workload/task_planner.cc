#include "clementineloom/workload/task_planner.h"

#include <algorithm>
#include <cstdint>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "clementineloom/workload/detail/advice_choice.h"
#include "clementineloom/workload/detail/advice_turn.h"
#include "clementineloom/workload/detail/guarantee_table.h"
#include "clementineloom/workload/detail/overdue_rule.h"
#include "clementineloom/workload/detail/quota_gate.h"
#include "clementineloom/workload/detail/quota_reclaim.h"
#include "clementineloom/workload/detail/rack_fit.h"
#include "clementineloom/workload/detail/rack_wait.h"
#include "clementineloom/workload/detail/room_choice.h"
#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/share_order.h"
#include "clementineloom/workload/detail/standing_of.h"
#include "clementineloom/workload/detail/start_candidates.h"
#include "clementineloom/workload/detail/team_usage_table.h"
#include "clementineloom/workload/detail/urgent_claims.h"
#include "clementineloom/workload/detail/wait_description.h"
#include "clementineloom/workload/task_kind.h"

namespace clementineloom::workload {
namespace {

using detail::ChooseRoom;
using detail::ObjectiveStanding;
using detail::StartCandidate;
using detail::WorkerRoom;

// Wait of a guaranteed gang for a rack before runs are stopped for it on several; longer, because
// other jobs lose work then, and the gang itself runs much slower.
constexpr std::int64_t kMaxGuaranteedRackWaitMs = 1'500;
// Wait of a guaranteed step before it goes first and urgent runs are stopped for it, since most of
// them end by themselves soon. The rest of the time in which it has to begin covers a stop and a
// start.
constexpr std::int64_t kReclaimAfterMs = 1'000;

// Steps of a lower rank go first.
std::tuple<std::uint32_t, bool, ObjectiveStanding> RankOf(const StartCandidate& step) {
  return {step.priority(), step.is_beyond_rate, step.standing};
}

// Longest wait of an urgent step for workers that are fast enough, a fraction of the time in which
// it has to begin.
constexpr std::int64_t kMaxSpeedWaitMs = 700;

// Whether an urgent step should not start on workers that are too slow for its objective.
bool AvoidsSlowWorkers(const StartCandidate& step, std::int64_t unix_now_ms) {
  return step.priority() == kPreemptingPriority && step.min_speed > 0 &&
         step.standing == ObjectiveStanding::kReachable &&
         unix_now_ms < step.due_at_ms + kMaxSpeedWaitMs;
}

// Kinds of tasks that a step slows or that slow it.
std::set<std::string> DisturbingKinds(const StartCandidate& step, const PlanRequest& request) {
  std::set<std::string> kinds;
  if (request.interference == nullptr) {
    return kinds;
  }
  const std::string& kind = TaskKind(*step.job->submission, step.spec());
  for (const auto& [pair, left] : *request.interference) {
    if (pair.slowed == kind) {
      kinds.insert(pair.neighbour);
    }
    if (pair.neighbour == kind) {
      kinds.insert(pair.slowed);
    }
  }
  return kinds;
}

// One planning pass: the room that is left, and what was decided so far.
class PlanningPass {
 public:
  PlanningPass(const PlanRequest& request, const detail::GuaranteeTable& guarantees,
               detail::TeamUsageTable& usage)
      : request_(request),
        guarantees_(guarantees),
        usage_(usage),
        rooms_(request),
        quotas_(usage, rooms_),
        claims_(request, rooms_, guarantees, usage),
        quota_reclaim_(guarantees, usage, rooms_),
        overdue_rule_(request) {}

  // Places steps in the order of their ranks, and those of one rank by the shares of their teams.
  // Keeps what the last plan claimed for the urgent ones among them from those that are placed
  // before them.
  void PlaceAll(std::span<StartCandidate> steps) {
    for (const StartCandidate& it : steps) {
      if (it.priority() == kPreemptingPriority) {
        claims_.Hold(it);
      }
    }
    for (auto rest = steps; !rest.empty();) {
      const auto end = std::find_if(rest.begin(), rest.end(), [&](const StartCandidate& it) {
        return RankOf(it) != RankOf(rest.front());
      });
      const auto count = static_cast<std::size_t>(end - rest.begin());
      detail::ShareOrder order(rest.first(count), usage_);
      while (StartCandidate* step = order.Next()) {
        Place(*step);
      }
      rest = rest.subspan(count);
    }
  }

  StartPlan TakePlan(std::span<const StartCandidate> steps) {
    plan_.urgent_loads = LoadsOf(steps);
    plan_.team_urgent_loads = TeamLoadsOf(steps);
    const auto& for_claims = claims_.preemptions();
    plan_.preemptions.insert(plan_.preemptions.end(), for_claims.begin(), for_claims.end());
    plan_.claims = claims_.claims();
    return std::move(plan_);
  }

 private:
  // Leaves in the step the tasks that the quota of its team admits.
  void Place(StartCandidate& step) {
    if (step.priority() == kPreemptingPriority) {
      claims_.Release(step);
    }
    const std::size_t admitted = quotas_.Admit(step);
    if (admitted == 0) {
      StopOwnRunsFor(step);
    }
    step.task_indexes.resize(admitted);
    if (admitted == 0) {
      return;
    }
    const std::size_t before = plan_.starts.size();
    PlaceWhole(step);
    if (plan_.starts.size() == before) {
      PlaceIfOverdue(step);
    }
    const std::size_t placed = plan_.starts.size() - before;
    const bool is_whole = placed == step.task_indexes.size();
    const bool may_claim = !is_whole && MayStopRunsFor(step);
    if (may_claim) {
      claims_.MakeRoom(step, placed, !MayStopOnSeveralRacks(step));
    }
    // Tasks with a claim start in one of the next plans.
    quotas_.Take(step, may_claim ? step.task_indexes.size() : placed);
    if (!is_whole && step.job->submission->queue.needs_advice) {
      AddQuestion(step);
    }
    if (!is_whole && step.is_guaranteed) {
      AddWait(step);
    }
  }

  // Stops less urgent runs of the step's team where its quota does not admit the step beside them.
  void StopOwnRunsFor(const StartCandidate& step) {
    if (MayStopRunsFor(step)) {
      const std::vector<Preemption> stopped = quota_reclaim_.MakeRoom(step);
      plan_.preemptions.insert(plan_.preemptions.end(), stopped.begin(), stopped.end());
    }
  }

  void PlaceWhole(const StartCandidate& step) {
    if (step.spec().is_gang) {
      PlaceGang(step);
    } else {
      PlaceTasks(step);
    }
  }

  // Places one task, or a gang, that waits no longer. The other tasks still wait for better room.
  void PlaceIfOverdue(const StartCandidate& step) {
    auto overdue = overdue_rule_.WithoutWaits(step);
    if (!overdue) {
      return;
    }
    if (!overdue->spec().is_gang) {
      overdue->task_indexes.resize(1);
    }
    PlaceWhole(*overdue);
  }

  // What urgent runs hold, and what urgent steps wait for, by service.
  UrgentLoads LoadsOf(std::span<const StartCandidate> steps) const {
    UrgentLoads loads;
    for (const WorkerRoom* it : rooms_.On({})) {
      loads[it->worker->info.service].accelerators += it->urgent_accelerators;
    }
    for (const StartCandidate& it : steps) {
      if (it.priority() == kPreemptingPriority) {
        UrgentLoad& load = loads[it.job->submission->queue.service];
        load.newest_due_at_ms = std::max(load.newest_due_at_ms, it.due_at_ms);
        load.accelerators += it.standing != ObjectiveStanding::kMissed ? it.Accelerators() : 0;
      }
    }
    return loads;
  }

  // What the urgent work of each team with a quota holds, with what starts now, and when its newest
  // step arrived, also if the quota does not admit it.
  UrgentLoads TeamLoadsOf(std::span<const StartCandidate> steps) const {
    UrgentLoads loads;
    for (const auto& [team, index] : usage_.indexes()) {
      const detail::TeamUsage& usage = usage_.Of(index);
      if (usage.quota.accelerators > 0 && usage.urgent_accelerators > 0) {
        loads[team].accelerators = usage.urgent_accelerators;
      }
    }
    for (const StartCandidate& it : steps) {
      const auto team = usage_.TeamOf(*it.job);
      if (it.priority() == kPreemptingPriority && team && usage_.Of(*team).quota.accelerators > 0) {
        UrgentLoad& load = loads[it.job->submission->team];
        load.newest_due_at_ms = std::max(load.newest_due_at_ms, it.due_at_ms);
      }
    }
    return loads;
  }

  void AddWait(const StartCandidate& step) {
    auto wait = detail::DescribeWait(step, request_, rooms_, claims_, guarantees_);
    if (wait) {
      plan_.waits.push_back(std::move(*wait));
    }
  }

  PlannedStart StartOn(const WorkerRoom& room, const StartCandidate& step, std::uint32_t index,
                       std::uint64_t run, const std::string& checkpoint) const {
    const std::string& worker = room.worker->info.id;
    PlacedRun placed =
        PlacedRun::Of({{step.step, index}, run}, step.spec(), step.priority(), request_.now);
    placed.checkpoint = checkpoint;
    if (checkpoint.empty()) {
      placed.first_percent_at = request_.now;
    }
    return {worker, std::move(placed), request_.advice.Ticket(step.step, worker, request_.now)};
  }

  bool MayStopOnSeveralRacks(const StartCandidate& step) const {
    return step.is_guaranteed && request_.unix_now_ms >= step.due_at_ms + kMaxGuaranteedRackWaitMs;
  }

  WorkerRoom* ChooseNearData(const StartCandidate& step) {
    const std::string& rack = step.spec().data_rack;
    if (!rack.empty()) {
      WorkerRoom* near = ChooseRoom(rooms_.On(rack), step, request_);
      if (near != nullptr || WaitsForDataRack(step, rooms_, request_.unix_now_ms)) {
        return near;
      }
    }
    return rooms_.Choose(step);
  }

  // Other work is not lost for a result that comes too late, nor for what a team submits beyond its
  // rate.
  static bool MayStopRunsFor(const StartCandidate& step) {
    return step.priority() == kPreemptingPriority &&
           (step.is_guaranteed ||
            (step.standing != ObjectiveStanding::kMissed && !step.is_beyond_rate));
  }

  void PlaceTasks(const StartCandidate& step) {
    for (const std::uint32_t index : step.task_indexes) {
      WorkerRoom* room = ChooseNearData(step);
      if (room == nullptr) {
        return;
      }
      const TaskRecord& task = step.job->Task({step.step, index});
      plan_.starts.push_back(StartOn(*room, step, index, task.run + 1, task.checkpoint));
      rooms_.Take(*room, step);
    }
  }

  void PlaceGang(const StartCandidate& step) {
    const StepSpec& spec = step.spec();
    if (!spec.data_rack.empty() && (PlaceGangOn(step, spec.data_rack) ||
                                    WaitsForDataRack(step, rooms_, request_.unix_now_ms))) {
      return;
    }
    if (spec.prefers_one_rack &&
        (PlaceGangOnAnyRack(step) || WaitsForOneRack(step, rooms_, request_.unix_now_ms))) {
      return;
    }
    PlaceGangOn(step, {});
  }

  // Takes the rack with the least room left, so that wider gangs find one; for urgent gangs a rack
  // that is kept for them.
  bool PlaceGangOnAnyRack(const StartCandidate& step) {
    const bool is_urgent = step.priority() == kPreemptingPriority;
    const std::string* best = nullptr;
    std::pair<bool, std::int64_t> best_cost;
    for (const auto& [name, rack] : rooms_.racks()) {
      // All but one of the reserved racks are reserved whole, so the first room stands for its
      // rack.
      const std::pair cost{is_urgent != rack.rooms.front()->is_reserved, rack.free_accelerators};
      const bool may_be_best = best == nullptr || cost < best_cost;
      if (may_be_best && step.Accelerators() <= rack.free_accelerators &&
          HasRoomForAll(step, rack.rooms, request_)) {
        best = &name;
        best_cost = cost;
      }
    }
    return best != nullptr && PlaceGangOn(step, *best);
  }

  // Places a whole gang on the workers of a rack, or nothing.
  bool PlaceGangOn(const StartCandidate& step, const std::string& rack) {
    const std::vector<WorkerRoom*>& rooms = rooms_.On(rack);
    if (step.Accelerators() > rooms_.free_accelerators() || !HasRoomForAll(step, rooms, request_)) {
      return false;
    }
    const std::string checkpoint = GangCheckpoint(step);
    const std::uint64_t run = NextGangRun(step);
    for (const std::uint32_t index : step.task_indexes) {
      WorkerRoom* room = rack.empty() ? rooms_.Choose(step) : ChooseRoom(rooms, step, request_);
      plan_.starts.push_back(StartOn(*room, step, index, run, checkpoint));
      rooms_.Take(*room, step);
    }
    return true;
  }

  // The checkpoint of any member is valid for all, and all have to carry the same one.
  static std::string GangCheckpoint(const StartCandidate& step) {
    for (const std::uint32_t index : step.task_indexes) {
      const TaskRecord& task = step.job->Task({step.step, index});
      if (!task.checkpoint.empty()) {
        return task.checkpoint;
      }
    }
    return {};
  }

  static std::uint64_t NextGangRun(const StartCandidate& step) {
    std::uint64_t last = 0;
    for (const std::uint32_t index : step.task_indexes) {
      last = std::max(last, step.job->Task({step.step, index}).run);
    }
    return last + 1;
  }

  // Keeps the question of the step whose turn comes first.
  void AddQuestion(const StartCandidate& step) {
    const auto turn = detail::AdviceTurn::Of(step, request_);
    if (!request_.advice.MayAsk(step.step, request_.now) ||
        (question_turn_ && !turn.IsBefore(*question_turn_))) {
      return;
    }
    std::vector<std::string> workers =
        detail::ChooseWorkersToAskAbout(step, request_, rooms_, MayStopRunsFor(step));
    if (!workers.empty()) {
      const AdviceTimes& times = step.job->submission->queue.advice_times;
      const Milliseconds answer_time = times.AnswerTime(workers.size());
      plan_.question = AdviceQuestion{step.step, std::move(workers), answer_time};
      question_turn_ = turn;
    }
  }

  const PlanRequest& request_;
  const detail::GuaranteeTable& guarantees_;
  const detail::TeamUsageTable& usage_;
  detail::RoomTable rooms_;
  detail::QuotaGate quotas_;
  detail::UrgentClaims claims_;
  detail::QuotaReclaim quota_reclaim_;
  detail::OverdueRule overdue_rule_;
  StartPlan plan_;
  // Turn of the step that asks.
  std::optional<detail::AdviceTurn> question_turn_;
};

}  // namespace

StartPlan PlanStarts(const PlanRequest& request) {
  std::vector<StartCandidate> candidates =
      detail::StartCandidates(request.jobs, request.workers, request.unix_now_ms);
  if (candidates.empty()) {
    return {};
  }
  detail::GuaranteeTable guarantees(request);
  auto usage = detail::TeamUsageTable::ForPlan(request);
  for (StartCandidate& it : candidates) {
    it.is_beyond_rate = std::binary_search(request.jobs_beyond_rate.begin(),
                                           request.jobs_beyond_rate.end(), it.step.job);
    it.standing = detail::StandingOf(it, request.unix_now_ms);
    if (request.speeds != nullptr && !request.speeds->empty()) {
      it.min_speed = detail::MinSpeedOf(it, request.unix_now_ms);
      it.avoids_slow_workers = AvoidsSlowWorkers(it, request.unix_now_ms);
    }
    it.disturbing_kinds = DisturbingKinds(it, request);
    it.is_guaranteed = guarantees.Admit(it);
    it.may_reclaim = it.is_guaranteed && request.unix_now_ms >= it.due_at_ms + kReclaimAfterMs;
  }
  std::stable_sort(candidates.begin(), candidates.end(),
                   [](const auto& a, const auto& b) { return RankOf(a) < RankOf(b); });
  const auto rest = std::stable_partition(candidates.begin(), candidates.end(),
                                          [](const auto& it) { return it.may_reclaim; });
  PlanningPass pass(request, guarantees, usage);
  // Placed first, so that guaranteed steps that have waited long also get room cleared for other
  // work.
  pass.PlaceAll({candidates.begin(), rest});
  pass.PlaceAll({rest, candidates.end()});
  return pass.TakePlan(candidates);
}

}  // namespace clementineloom::workload
