#include "clementineloom/workload/step_waits.h"

#include <cstdint>
#include <string_view>

#include "clementineloom/workload/detail/room_choice.h"
#include "clementineloom/workload/detail/room_table.h"
#include "clementineloom/workload/detail/start_candidates.h"

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

void CountTasks(const JobEntry& job, const PlanRequest& request, StepWait& wait) {
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
  for (std::uint32_t index = 0; index < job.submission->steps[wait.step.step].task_count; ++index) {
    wait.open_tasks += job.Task({wait.step, index}).phase != TaskPhase::kDone ? 1 : 0;
  }
}

StepWait DescribeWait(const PlanRequest& request, const StepId& step,
                      const detail::RoomTable& rooms) {
  const JobEntry& job = *request.jobs.Find(step.job);
  const detail::StartCandidate candidate{&job, step, {}, job.submission->DueAtMs(step.occurrence)};
  StepWait wait;
  wait.step = step;
  wait.needed = candidate.spec().Reserved();
  wait.claims = request.claims.size();
  CountTasks(job, request, wait);
  for (const auto& [id, worker] : request.workers) {
    if (worker.info.service == job.submission->queue.service) {
      ++CounterOf(worker, candidate, request, rooms, wait.workers);
    }
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
  for (const StepId& it : steps) {
    waits.push_back(DescribeWait(request, it, rooms));
  }
  return waits;
}

StepWait DescribeStepWait(const PlanRequest& request, const StepId& step) {
  return DescribeStepWaits(request, std::span(&step, 1)).front();
}

}  // namespace clementineloom::workload
