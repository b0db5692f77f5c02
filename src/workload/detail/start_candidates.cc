#include "clementineloom/workload/detail/start_candidates.h"

#include <algorithm>
#include <functional>
#include <set>
#include <string>
#include <tuple>

namespace clementineloom::workload::detail {
namespace {

// Tasks with a run that holds room; references, to avoid copies of their names.
using HeldTasks = std::set<std::reference_wrapper<const TaskId>, std::less<TaskId>>;

HeldTasks HeldTasksOf(const WorkerPool& workers) {
  HeldTasks held;
  for (const auto& [id, worker] : workers) {
    for (const auto& [run, placed] : worker.runs) {
      held.insert(run.task);
    }
  }
  return held;
}

void AddStep(const std::string& id, const JobEntry& job, std::uint32_t occurrence,
             std::uint32_t step, const HeldTasks& held, std::vector<StartCandidate>& candidates) {
  const StepSpec& spec = job.submission->steps[step];
  StartCandidate candidate{&job, {id, occurrence, step}, {}, job.submission->DueAtMs(occurrence)};
  for (std::uint32_t index = 0; index < spec.task_count; ++index) {
    const TaskId task{candidate.step, index};
    if (job.Task(task).phase != TaskPhase::kDone && !held.contains(task)) {
      candidate.task_indexes.push_back(index);
    }
  }
  const bool is_ready = spec.is_gang ? candidate.task_indexes.size() == spec.task_count
                                     : !candidate.task_indexes.empty();
  if (is_ready) {
    candidates.push_back(std::move(candidate));
  }
}

}  // namespace

std::vector<StartCandidate> StartCandidates(const JobTable& jobs, const WorkerPool& workers,
                                            std::int64_t unix_now_ms) {
  const HeldTasks held = HeldTasksOf(workers);
  std::vector<StartCandidate> candidates;
  for (const auto& [id, job] : jobs.jobs()) {
    if (!job.IsOpen()) {
      continue;
    }
    const JobSubmission& submission = *job.submission;
    for (std::uint32_t occurrence = 0; occurrence < submission.RunCount(); ++occurrence) {
      if (submission.occurrences > 0 && submission.DueAtMs(occurrence) > unix_now_ms) {
        break;
      }
      for (std::uint32_t step = 0; step < submission.steps.size(); ++step) {
        if (job.AreDependenciesDone(occurrence, step)) {
          AddStep(id, job, occurrence, step, held, candidates);
        }
      }
    }
  }
  std::stable_sort(
      candidates.begin(), candidates.end(), [](const StartCandidate& a, const StartCandidate& b) {
        return std::tuple(a.priority(), a.due_at_ms) < std::tuple(b.priority(), b.due_at_ms);
      });
  return candidates;
}

}  // namespace clementineloom::workload::detail
