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
  // Each resource times the estimated milliseconds.
  Resources work;

  void Add(const StepSpec& spec, std::int64_t count) {
    const Resources needed = spec.Reserved() * count;
    tasks = tasks + needed;
    work = work + needed * spec.estimate_ms;
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
  for (const StepSpec& it : submission.steps) {
    if (it.depends_on.empty()) {
      waiting.Add(it, it.task_count);
    }
  }
  std::int64_t wait_ms = 0;
  const auto consider = [&](std::int64_t Resources::*resource) {
    const std::int64_t whole = capacity.*resource;
    if (whole > 0 && (used + waiting.tasks).*resource > whole) {
      wait_ms = std::max(wait_ms, waiting.work.*resource / whole);
    }
  };
  consider(&Resources::cpu_millicores);
  consider(&Resources::memory_mb);
  consider(&Resources::accelerators);
  return Milliseconds(wait_ms);
}

std::optional<Milliseconds> WaitWithinObjective(const JobSubmission& submission) {
  const bool runs_until_cancelled =
      std::any_of(submission.steps.begin(), submission.steps.end(),
                  [](const StepSpec& it) { return it.runs_until_cancelled; });
  const std::int64_t objective_ms = detail::ObjectiveMs(submission);
  if (runs_until_cancelled || submission.occurrences > 0 || objective_ms == 0) {
    return std::nullopt;
  }
  return Milliseconds(objective_ms - detail::CriticalPathMs(submission.steps));
}

}  // namespace clementineloom::workload
