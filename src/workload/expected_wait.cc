#include "clementineloom/workload/expected_wait.h"

#include <algorithm>
#include <cstdint>
#include <string>

#include "clementineloom/workload/detail/critical_path.h"
#include "clementineloom/workload/detail/standing_of.h"
#include "clementineloom/workload/resources.h"

namespace clementineloom::workload {
namespace {

// What the open jobs of a service wait for.
struct WaitingWork {
  Resources tasks;
  // Amounts times the estimated milliseconds; not whole numbers, since estimates of callers times
  // many tasks may exceed their range.
  double cpu_work = 0;
  double memory_work = 0;
  double accelerator_work = 0;

  void Add(const StepSpec& spec, std::int64_t count) {
    const Resources needed = spec.Reserved() * count;
    const auto estimate_ms = static_cast<double>(spec.estimate_ms);
    tasks = tasks + needed;
    cpu_work += static_cast<double>(needed.cpu_millicores) * estimate_ms;
    memory_work += static_cast<double>(needed.memory_mb) * estimate_ms;
    accelerator_work += static_cast<double>(needed.accelerators) * estimate_ms;
  }
};

// Tasks that are not done and that no record has placed.
std::int64_t WaitingTasks(const JobEntry& job, const StepId& step) {
  std::int64_t waiting = 0;
  const std::uint32_t count = job.submission->steps[step.step].task_count;
  for (std::uint32_t index = 0; index < count; ++index) {
    waiting += job.Task({step, index}).phase == TaskPhase::kWaiting ? 1 : 0;
  }
  return waiting;
}

WaitingWork WaitingWorkOf(const JobTable& jobs, const std::string& service) {
  WaitingWork waiting;
  for (const auto& [id, job] : jobs.jobs()) {
    if (!job.IsOpen() || job.submission->queue.service != service ||
        job.submission->occurrences > 0) {
      continue;
    }
    for (std::uint32_t number = 0; number < job.submission->steps.size(); ++number) {
      const StepSpec& spec = job.submission->steps[number];
      if (!spec.runs_until_cancelled && job.AreDependenciesDone(0, number)) {
        waiting.Add(spec, WaitingTasks(job, {id, 0, number}));
      }
    }
  }
  return waiting;
}

}  // namespace

Milliseconds ExpectedWait(const JobTable& jobs, const WorkerPool& workers,
                          const JobSubmission& submission) {
  Resources capacity;
  Resources used;
  for (const auto& [id, worker] : workers) {
    if (worker.info.service == submission.queue.service && worker.IsInService()) {
      capacity = capacity + worker.info.capacity;
      used = used + worker.used;
    }
  }
  WaitingWork waiting = WaitingWorkOf(jobs, submission.queue.service);
  // The job itself needs room, but does not wait for its own work.
  Resources needed = used + waiting.tasks;
  for (const StepSpec& it : submission.steps) {
    if (it.depends_on.empty()) {
      needed = needed + it.Reserved() * it.task_count;
    }
  }
  double wait_ms = 0;
  const auto consider = [&](std::int64_t Resources::*resource, double work) {
    const std::int64_t whole = capacity.*resource;
    if (whole > 0 && needed.*resource > whole) {
      wait_ms = std::max(wait_ms, work / static_cast<double>(whole));
    }
  };
  consider(&Resources::cpu_millicores, waiting.cpu_work);
  consider(&Resources::memory_mb, waiting.memory_work);
  consider(&Resources::accelerators, waiting.accelerator_work);
  constexpr double kLongestMs = 1e9;
  return Milliseconds(static_cast<std::int64_t>(std::min(wait_ms, kLongestMs)));
}

std::optional<Milliseconds> WaitWithinObjective(const JobSubmission& submission) {
  const std::int64_t objective_ms = detail::ObjectiveMs(submission);
  if (detail::RunsUntilCancelled(submission) || submission.occurrences > 0 || objective_ms == 0) {
    return std::nullopt;
  }
  return Milliseconds(objective_ms - detail::CriticalPathMs(submission.steps));
}

}  // namespace clementineloom::workload
