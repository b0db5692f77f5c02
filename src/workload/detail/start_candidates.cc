#include "clementineloom/workload/detail/start_candidates.h"

#include <algorithm>
#include <cstddef>
#include <functional>
#include <string>
#include <string_view>
#include <tuple>
#include <unordered_map>
#include <unordered_set>
#include <utility>

namespace clementineloom::workload::detail {
namespace {

// The indexes of the tasks of a step whose runs hold room.
using HeldIndexes = std::unordered_set<std::uint32_t>;

// The names are those of the runs, to avoid copies.
struct StepKey {
  std::string_view job;
  std::uint32_t occurrence = 0;
  std::uint32_t step = 0;

  friend bool operator==(const StepKey&, const StepKey&) = default;
};

struct StepKeyHash {
  std::size_t operator()(const StepKey& key) const {
    // Steps and occurrences are few, so that neighbouring values seldom collide.
    return std::hash<std::string_view>()(key.job) + (std::size_t{key.occurrence} << 8U) + key.step;
  }
};

using HeldTasks = std::unordered_map<StepKey, HeldIndexes, StepKeyHash>;

HeldTasks HeldTasksOf(const WorkerPool& workers) {
  HeldTasks held;
  for (const auto& [id, worker] : workers) {
    for (const auto& [run, placed] : worker.runs) {
      const StepId& step = run.task.step;
      held[{step.job, step.occurrence, step.step}].insert(run.task.index);
    }
  }
  return held;
}

// The indexes of the tasks that are not done and hold no room.
std::vector<std::uint32_t> WaitingTasks(const JobEntry& job, std::uint32_t occurrence,
                                        std::uint32_t step, const HeldIndexes* held) {
  const auto row = job.tasks.find({occurrence, step});
  std::vector<std::uint32_t> waiting;
  for (std::uint32_t index = 0; index < job.submission->steps[step].task_count; ++index) {
    const bool is_done = row != job.tasks.end() && index < row->second.size() &&
                         row->second[index].phase == TaskPhase::kDone;
    if (!is_done && (held == nullptr || !held->contains(index))) {
      waiting.push_back(index);
    }
  }
  return waiting;
}

void AddStep(const std::string& id, const JobEntry& job, std::uint32_t occurrence,
             std::uint32_t step, const HeldTasks& held, std::vector<StartCandidate>& candidates) {
  const StepSpec& spec = job.submission->steps[step];
  const auto it = held.find({id, occurrence, step});
  std::vector<std::uint32_t> waiting =
      WaitingTasks(job, occurrence, step, it == held.end() ? nullptr : &it->second);
  const bool is_ready = spec.is_gang ? waiting.size() == spec.task_count : !waiting.empty();
  if (is_ready) {
    candidates.push_back(
        {&job, {id, occurrence, step}, std::move(waiting), job.submission->DueAtMs(occurrence)});
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
