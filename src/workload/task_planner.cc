#include "clementineloom/workload/task_planner.h"

#include <algorithm>
#include <iterator>
#include <optional>
#include <set>
#include <string>
#include <utility>

#include "clementineloom/workload/detail/room_choice.h"
#include "clementineloom/workload/detail/start_candidates.h"
#include "clementineloom/workload/detail/victim_search.h"

namespace clementineloom::workload {
namespace {

using detail::ChooseRoom;
using detail::RoomFilter;
using detail::StartCandidate;
using detail::WorkerRoom;

// Shortest wait for a place near the data or on one rack; the longer wait is the estimate of the
// task, because away from there it takes a multiple of that.
constexpr std::int64_t kMinWaitForRackMs = 500;
// Queues of this priority may stop the runs of others.
constexpr std::uint32_t kPreemptingPriority = 0;
// Longest wait of such a queue for a rack, a fraction of the time in which it has to begin.
constexpr std::int64_t kMaxUrgentWaitMs = 700;
// Workers named in a question: enough to find room, and each costs the service time.
constexpr std::size_t kWorkersInQuestion = 30;

// One planning pass: the room that is left, and what was decided so far.
class Pass {
 public:
  explicit Pass(const PlanRequest& request) : request_(request) {
    for (const auto& [id, worker] : request.workers) {
      if (worker.TakesRuns(request.now) && !request.evacuated.contains(worker.info.data_centre)) {
        rooms_.push_back(RoomOf(worker));
      }
    }
  }

  void Place(const StartCandidate& step) {
    const std::size_t before = plan_.starts.size();
    if (step.spec().is_gang) {
      PlaceGang(step);
    } else {
      PlaceTasks(step);
    }
    const bool is_whole = plan_.starts.size() - before == step.task_indexes.size();
    if (!is_whole && step.priority() == kPreemptingPriority) {
      MakeRoom(step, plan_.starts.size() - before);
    }
    if (!is_whole && step.job->submission->queue.needs_advice && !plan_.question) {
      AskAbout(step);
    }
  }

  StartPlan Take() { return std::move(plan_); }

 private:
  static WorkerRoom RoomOf(const PoolWorker& worker) {
    WorkerRoom room;
    room.worker = &worker;
    room.free = worker.Free();
    room.free_later = room.free;
    for (const auto& [run, placed] : worker.runs) {
      if (placed.stage == RunStage::kStopping) {
        room.free_later = room.free_later + placed.reserved;
      }
      room.has_service_tasks = room.has_service_tasks || placed.tail_target_ms > 0;
      room.has_fill_tasks = room.has_fill_tasks || placed.fills_idle_cpu;
    }
    return room;
  }

  RoomFilter OnRack(std::string rack) const {
    return {std::move(rack), request_.advice, request_.now};
  }

  PlannedStart StartOn(const WorkerRoom& room, const StartCandidate& step, std::uint32_t index,
                       std::uint64_t run, const std::string& checkpoint) const {
    const StepSpec& spec = step.spec();
    const std::string& worker = room.worker->info.id;
    PlacedRun placed;
    placed.run = {{step.step, index}, run};
    placed.reserved = spec.Reserved();
    placed.placed_at = request_.now;
    placed.priority = step.priority();
    placed.checkpoint = checkpoint;
    placed.fills_idle_cpu = spec.fills_idle_cpu;
    placed.tail_target_ms = spec.tail_target_ms;
    return {worker, std::move(placed), request_.advice.Ticket(step.step, worker, request_.now)};
  }

  // Whether any eligible worker stands on the rack of the data, whatever runs there.
  bool HasDataRack(const StartCandidate& step) const {
    return std::any_of(rooms_.begin(), rooms_.end(), [&](const WorkerRoom& it) {
      return it.worker->info.rack == step.spec().data_rack && IsEligible(*it.worker, step);
    });
  }

  bool IsWorthWaiting(const StartCandidate& step) const {
    const std::int64_t wait_ms = step.priority() == kPreemptingPriority
                                     ? kMaxUrgentWaitMs
                                     : std::max(kMinWaitForRackMs, step.spec().estimate_ms);
    return request_.unix_now_ms < step.due_at_ms + wait_ms;
  }

  WorkerRoom* ChooseNearData(const StartCandidate& step) {
    const std::string& rack = step.spec().data_rack;
    if (!rack.empty() && HasDataRack(step)) {
      WorkerRoom* near = ChooseRoom(rooms_, step, OnRack(rack));
      if (near != nullptr || IsWorthWaiting(step)) {
        return near;
      }
    }
    return ChooseRoom(rooms_, step, OnRack({}));
  }

  void PlaceTasks(const StartCandidate& step) {
    for (const std::uint32_t index : step.task_indexes) {
      WorkerRoom* room = ChooseNearData(step);
      if (room == nullptr) {
        return;
      }
      const TaskRecord& task = step.job->Task({step.step, index});
      plan_.starts.push_back(StartOn(*room, step, index, task.run + 1, task.checkpoint));
      room->Take(step.step, step.spec());
    }
  }

  void PlaceGang(const StartCandidate& step) {
    const StepSpec& spec = step.spec();
    if (!spec.data_rack.empty() && HasDataRack(step) &&
        (PlaceGangOn(step, spec.data_rack) || IsWorthWaiting(step))) {
      return;
    }
    if (spec.prefers_one_rack && (PlaceGangOnAnyRack(step) || IsWorthWaiting(step))) {
      return;
    }
    PlaceGangOn(step, {});
  }

  std::set<std::string> Racks() const {
    std::set<std::string> racks;
    for (const WorkerRoom& it : rooms_) {
      racks.insert(it.worker->info.rack);
    }
    return racks;
  }

  bool PlaceGangOnAnyRack(const StartCandidate& step) {
    const std::set<std::string> racks = Racks();
    return std::any_of(racks.begin(), racks.end(),
                       [&](const std::string& it) { return PlaceGangOn(step, it); });
  }

  // Places a whole gang on the workers of a rack, or nothing.
  bool PlaceGangOn(const StartCandidate& step, const std::string& rack) {
    std::vector<WorkerRoom> trial = rooms_;
    std::vector<PlannedStart> members;
    const std::string checkpoint = GangCheckpoint(step);
    const std::uint64_t run = NextGangRun(step);
    for (const std::uint32_t index : step.task_indexes) {
      WorkerRoom* room = ChooseRoom(trial, step, OnRack(rack));
      if (room == nullptr) {
        return false;
      }
      members.push_back(StartOn(*room, step, index, run, checkpoint));
      room->Take(step.step, step.spec());
    }
    rooms_ = std::move(trial);
    std::move(members.begin(), members.end(), std::back_inserter(plan_.starts));
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

  // Claims room for the tasks of a step that found none, and stops less urgent runs for it.
  void MakeRoom(const StartCandidate& step, std::size_t placed) {
    if (step.spec().prefers_one_rack) {
      MakeRoomOnOneRack(step);
      return;
    }
    for (std::size_t n = placed; n < step.task_indexes.size(); ++n) {
      if (!Claim(rooms_, step, step.task_indexes[n], {}, plan_.preemptions)) {
        return;
      }
    }
  }

  void MakeRoomOnOneRack(const StartCandidate& step) {
    std::optional<RackClaim> best;
    for (const std::string& rack : Racks()) {
      RackClaim claim{rooms_, {}, 0};
      if (ClaimAll(step, rack, claim) && (!best || claim.cost < best->cost)) {
        best = std::move(claim);
      }
    }
    if (best) {
      rooms_ = std::move(best->rooms);
      std::move(best->preemptions.begin(), best->preemptions.end(),
                std::back_inserter(plan_.preemptions));
    }
  }

  struct RackClaim {
    std::vector<WorkerRoom> rooms;
    std::vector<Preemption> preemptions;
    std::int64_t cost = 0;
  };

  bool ClaimAll(const StartCandidate& step, const std::string& rack, RackClaim& claim) const {
    for (const std::uint32_t index : step.task_indexes) {
      const auto cost = Claim(claim.rooms, step, index, rack, claim.preemptions);
      if (!cost) {
        return false;
      }
      claim.cost += *cost;
    }
    return true;
  }

  // Claims the room for one task where the least work is lost. Returns that work, or nothing.
  std::optional<std::int64_t> Claim(std::vector<WorkerRoom>& rooms, const StartCandidate& step,
                                    std::uint32_t index, const std::string& rack,
                                    std::vector<Preemption>& preemptions) const {
    WorkerRoom* best = nullptr;
    detail::VictimSet best_victims;
    for (WorkerRoom& it : rooms) {
      if (!IsAllowed(it, step, OnRack(rack)) || !IsEligible(*it.worker, step)) {
        continue;
      }
      auto victims = detail::FindVictims(it, step, request_.jobs, request_.now);
      if (victims && (best == nullptr || victims->cost < best_victims.cost)) {
        best = &it;
        best_victims = std::move(*victims);
      }
    }
    if (best == nullptr) {
      return std::nullopt;
    }
    for (const TaskRun& it : best_victims.runs) {
      const Resources& freed = best->worker->runs.at(it).reserved;
      best->free_later = best->free_later + freed;
      best->stopped.push_back(it);
      preemptions.push_back({best->worker->info.id, it, {step.step, index}});
    }
    best->Take(step.step, step.spec());
    return best_victims.cost;
  }

  void AskAbout(const StartCandidate& step) {
    AdviceQuestion question{step.step, {}};
    for (const WorkerRoom& it : rooms_) {
      const std::string& id = it.worker->info.id;
      if (question.workers.size() < kWorkersInQuestion && IsEligible(*it.worker, step) &&
          HasRoom(it, step) && !request_.advice.WasAsked(step.step, id)) {
        question.workers.push_back(id);
      }
    }
    if (!question.workers.empty()) {
      plan_.question = std::move(question);
    }
  }

  const PlanRequest& request_;
  std::vector<WorkerRoom> rooms_;
  StartPlan plan_;
};

}  // namespace

StartPlan PlanStarts(const PlanRequest& request) {
  const std::vector<StartCandidate> candidates =
      detail::StartCandidates(request.jobs, request.blocked, request.unix_now_ms);
  if (candidates.empty()) {
    return {};
  }
  Pass pass(request);
  for (const StartCandidate& it : candidates) {
    pass.Place(it);
  }
  return pass.Take();
}

}  // namespace clementineloom::workload
