#include "clementineloom/workload/step_waits.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "clementineloom/workload/detail/overdue_rule.h"
#include "clementineloom/workload/detail/rack_wait.h"
#include "clementineloom/workload/detail/room_choice.h"
#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidates.h"
#include "clementineloom/workload/detail/team_usage_table.h"

namespace clementineloom::workload {
namespace {

using JobIds = std::set<std::string_view>;

// Jobs with a run that is known to run on a worker that answers.
JobIds JobsAtWork(const PlanRequest& request, const std::set<std::string>& silent_workers) {
  JobIds jobs;
  for (const auto& [id, worker] : request.workers) {
    if (silent_workers.contains(id)) {
      continue;
    }
    for (const auto& [run, placed] : worker.runs) {
      if (placed.stage == RunStage::kRunning) {
        jobs.insert(run.task.step.job);
      }
    }
  }
  return jobs;
}

bool HasOpenTask(const JobEntry& job, const StepId& step) {
  const std::uint32_t task_count = job.submission->steps[step.step].task_count;
  for (std::uint32_t index = 0; index < task_count; ++index) {
    if (job.Task({step, index}).phase != TaskPhase::kDone) {
      return true;
    }
  }
  return false;
}

void AddWaitingSteps(const std::string& id, const JobEntry& job, std::int64_t unix_now_ms,
                     std::vector<StepId>& waiting) {
  const JobSubmission& submission = *job.submission;
  for (std::uint32_t occurrence = 0; occurrence < submission.RunCount(); ++occurrence) {
    if (submission.occurrences > 0 && submission.DueAtMs(occurrence) > unix_now_ms) {
      return;
    }
    for (std::uint32_t number = 0; number < submission.steps.size(); ++number) {
      const StepId step{id, occurrence, number};
      if (job.AreDependenciesDone(occurrence, number) && HasOpenTask(job, step)) {
        waiting.push_back(step);
      }
    }
  }
}

// The counter of a worker's first condition that keeps a step from it.
std::uint32_t& CounterOf(const PoolWorker& worker, const detail::StartCandidate& step,
                         const PlanRequest& request, const detail::RoomTable& rooms,
                         WorkerCounts& counts) {
  if (!detail::IsEligible(worker, step)) {
    return counts.without_label;
  }
  if (!worker.is_listed || worker.info.is_draining) {
    return counts.leaving;
  }
  if (!worker.is_attached) {
    return counts.unattached;
  }
  if (!worker.TakesRuns(request.now)) {
    return counts.backing_off;
  }
  const detail::WorkerRoom* room = rooms.Find(worker.info.id);
  if (room == nullptr) {
    return counts.evacuated;
  }
  if (!detail::HasRoom(*room, step)) {
    return counts.full;
  }
  if (room->is_reserved && !detail::MayUseReserve(step)) {
    return counts.reserved;
  }
  return detail::IsAllowed(*room, step, request) ? counts.usable : counts.unapproved;
}

// Counts the open and held tasks of a step. Returns the others: those that may start.
std::vector<std::uint32_t> CountTasks(const JobEntry& job, const PlanRequest& request,
                                      StepWait& wait) {
  std::set<std::uint32_t> held;
  for (const auto& [id, worker] : request.workers) {
    for (const auto& [run, placed] : worker.runs) {
      if (run.task.step != wait.step || job.Task(run.task).phase == TaskPhase::kDone) {
        continue;
      }
      held.insert(run.task.index);
      if (!wait.held_run || run < wait.held_run->run) {
        wait.held_run = {run, id, placed.stage};
      }
    }
  }
  wait.held_tasks = static_cast<std::uint32_t>(held.size());
  std::vector<std::uint32_t> waiting;
  for (std::uint32_t index = 0; index < job.submission->steps[wait.step.step].task_count; ++index) {
    if (job.Task({wait.step, index}).phase != TaskPhase::kDone) {
      ++wait.open_tasks;
      if (!held.contains(index)) {
        waiting.push_back(index);
      }
    }
  }
  return waiting;
}

// The tasks of a step that fit on the workers of each counter.
struct FittingTasks {
  std::int64_t usable = 0;
  std::int64_t reserved = 0;
  std::int64_t unapproved = 0;
};

// Counts the workers of the step's service.
FittingTasks CountWorkers(const detail::StartCandidate& step, const PlanRequest& request,
                          const detail::RoomTable& rooms, WorkerCounts& counts) {
  FittingTasks fitting;
  const std::map<const std::uint32_t*, std::int64_t*> tasks_by_counter{
      {&counts.usable, &fitting.usable},
      {&counts.reserved, &fitting.reserved},
      {&counts.unapproved, &fitting.unapproved}};
  for (const auto& [id, worker] : request.workers) {
    if (worker.info.service != step.job->submission->queue.service) {
      continue;
    }
    std::uint32_t& counter = CounterOf(worker, step, request, rooms, counts);
    ++counter;
    if (const auto it = tasks_by_counter.find(&counter); it != tasks_by_counter.end()) {
      const detail::WorkerRoom& room = *rooms.Find(id);
      *it->second += detail::FitCount(room, room.free, step);
    }
  }
  return fitting;
}

WaitReason ReasonOf(const detail::StartCandidate& step, const PlanRequest& request,
                    const detail::RoomTable& rooms, const detail::TeamUsageTable& usage,
                    const StepWait& wait, const FittingTasks& fitting) {
  const bool is_gang = step.spec().is_gang;
  if (step.task_indexes.empty() || (is_gang && wait.held_tasks > 0)) {
    return WaitReason::kHeldRuns;
  }
  const auto needed = is_gang ? static_cast<std::int64_t>(step.task_indexes.size()) : 1;
  if (usage.AdmittedTasks(step) < needed) {
    return WaitReason::kQuota;
  }
  if (fitting.usable + fitting.reserved + fitting.unapproved < needed) {
    return WaitReason::kRoom;
  }
  if (fitting.usable + fitting.reserved < needed) {
    return WaitReason::kAdvice;
  }
  if (fitting.usable < needed) {
    return WaitReason::kReserve;
  }
  if (detail::WaitsForDataRack(step, rooms, request.unix_now_ms)) {
    return WaitReason::kDataRack;
  }
  if (detail::WaitsForOneRack(step, rooms, request.unix_now_ms)) {
    return WaitReason::kOneRack;
  }
  return request.claims.empty() ? WaitReason::kNextPlan : WaitReason::kClaims;
}

void NoteTeam(const JobEntry& job, const detail::TeamUsageTable& usage, StepWait& wait) {
  if (const auto team = usage.TeamOf(job)) {
    wait.team = job.submission->team;
    wait.team_held = usage.Of(*team).held;
    wait.team_quota = usage.Of(*team).quota;
  }
}

StepWait DescribeWait(const PlanRequest& request, const StepId& step,
                      const detail::RoomTable& rooms, const detail::TeamUsageTable& usage,
                      detail::OverdueRule& overdue_rule) {
  const JobEntry& job = *request.jobs.Find(step.job);
  const std::string& service = job.submission->queue.service;
  StepWait wait;
  wait.step = step;
  detail::StartCandidate candidate{&job, step, CountTasks(job, request, wait),
                                   job.submission->DueAtMs(step.occurrence)};
  if (const auto overdue = overdue_rule.WithoutWaits(candidate)) {
    wait.is_overdue = true;
    candidate = *overdue;
  }
  wait.needed = candidate.spec().Reserved();
  wait.claims = request.claims.size();
  if (const auto it = request.urgent_reserve.find(service); it != request.urgent_reserve.end()) {
    wait.urgent_forecast = it->second;
  }
  NoteTeam(job, usage, wait);
  const FittingTasks fitting = CountWorkers(candidate, request, rooms, wait.workers);
  wait.reason = ReasonOf(candidate, request, rooms, usage, wait, fitting);
  if (wait.reason == WaitReason::kDataRack || wait.reason == WaitReason::kOneRack) {
    wait.ends_in_ms = detail::RackWaitLeftMs(candidate, request.unix_now_ms);
  }
  return wait;
}

}  // namespace

std::vector<StepId> WaitingSteps(const PlanRequest& request,
                                 const std::set<std::string>& silent_workers) {
  const JobIds at_work = JobsAtWork(request, silent_workers);
  std::vector<StepId> waiting;
  for (const auto& [id, job] : request.jobs.jobs()) {
    if (job.IsOpen() && !at_work.contains(id)) {
      AddWaitingSteps(id, job, request.unix_now_ms, waiting);
    }
  }
  return waiting;
}

std::vector<StepWait> DescribeStepWaits(const PlanRequest& request, std::span<const StepId> steps) {
  std::vector<StepWait> waits;
  if (steps.empty()) {
    return waits;
  }
  const detail::RoomTable rooms(request);
  const auto usage = detail::TeamUsageTable::ForPlan(request);
  detail::OverdueRule overdue_rule(request);
  for (const StepId& it : steps) {
    waits.push_back(DescribeWait(request, it, rooms, usage, overdue_rule));
  }
  return waits;
}

StepWait DescribeStepWait(const PlanRequest& request, const StepId& step) {
  return DescribeStepWaits(request, std::span(&step, 1)).front();
}

}  // namespace clementineloom::workload
