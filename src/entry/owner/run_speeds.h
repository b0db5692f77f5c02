#pragma once

#include <chrono>
#include <cmath>
#include <cstdint>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/progress_sample.h"
#include "clementineloom/workload/task_kind.h"
#include "entry/owner/owner_core.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Turns the progress that workers report into samples of speed. Logs the workers and the
/// pairs of kinds of tasks that turn out to differ from what was known.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class RunSpeeds {
 public:
  /// Precondition: the core outlives it.
  explicit RunSpeeds(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Handles a report of a run's progress.
  void OnProgress(const std::string& worker, workload::PlacedRun& run, std::uint32_t percent) {
    const auto now = core_.port.Now();
    const bool is_rising = percent > run.sampled_percent && percent < kFullPercent;
    if (!IsComparable(run) || percent == 0 || !is_rising) {
      return;
    }
    if (run.sampled_percent == 0) {
      // The time before the first progress is that of the start, or of waiting for a gang.
      run.sampled_percent = percent;
      run.sampled_at = now;
      return;
    }
    const auto span = std::chrono::duration_cast<workload::Milliseconds>(now - run.sampled_at);
    if (percent - run.sampled_percent < kMinGainedPercent || span < kMinSpan) {
      return;
    }
    AddSample(worker, run, percent - run.sampled_percent, span);
    run.sampled_percent = percent;
    run.sampled_at = now;
  }

 private:
  static constexpr std::uint32_t kFullPercent = 100;
  // Reports are rounded to whole percents.
  static constexpr std::uint32_t kMinGainedPercent = 15;
  static constexpr workload::Milliseconds kMinSpan{200};
  static constexpr std::uint32_t kLinesPerSecond = 20;

  // Whether nothing but its worker and its size decides how fast a run progresses.
  [[nodiscard]] bool IsComparable(const workload::PlacedRun& run) const {
    const workload::StepSpec* spec = core_.OpenStepOf(run);
    return spec != nullptr && !spec->runs_until_cancelled && !spec->fills_idle_cpu &&
           spec->task_count > 1 && run.pace_percent == kFullPercent;
  }

  void AddSample(const std::string& worker, const workload::PlacedRun& run, std::uint32_t gained,
                 workload::Milliseconds span) {
    const workload::JobSubmission& submission = *core_.jobs.Find(run.run.task.step.job)->submission;
    const workload::StepSpec& spec = submission.steps[run.run.task.step.step];
    const workload::SpeedChange change =
        core_.speeds.Add({worker, run.run.task.step, workload::TaskKind(submission, spec),
                          NeighboursOf(worker, run.run), spec.is_gang, gained, span},
                         core_.port.Now());
    if (change.worker_speed && budget_.Allow(core_.port.Now())) {
      LogWorker(worker, *change.worker_speed);
    }
    if (change.pair) {
      LogPair(*change.pair);
    }
  }

  // The kinds of the other runs on a worker, each once.
  [[nodiscard]] std::vector<std::string> NeighboursOf(const std::string& worker,
                                                      const workload::TaskRun& run) const {
    std::set<std::string> kinds;
    for (const auto& [other, placed] : core_.workers.at(worker).runs) {
      const std::string* kind = workload::KindOfRun(other, core_.jobs);
      if (other != run && kind != nullptr && placed.stage == workload::RunStage::kRunning) {
        kinds.insert(*kind);
      }
    }
    return {kinds.begin(), kinds.end()};
  }

  void LogWorker(const std::string& worker, double speed) {
    logging::LogEvent(logging::LogLevel::kInfo, "worker_speed",
                      {{"worker", worker},
                       {"speed_percent", std::lround(speed * kFullPercent)},
                       {"unlike_others", core_.speeds.speeds().size()},
                       {"left_out", budget_.TakeLeftOut()}});
  }

  void LogPair(const workload::KindPair& pair) {
    const workload::SpeedEstimate estimate = core_.speeds.EstimateOf(pair);
    const bool is_known = core_.speeds.interference().contains(pair);
    logging::LogEvent(
        logging::LogLevel::kInfo, "tasks_interfere",
        {{"slowed", pair.slowed},
         {"neighbour", pair.neighbour},
         {"apart", is_known ? 1 : 0},
         {"left_percent", std::lround(std::exp(estimate.log_speed) * kFullPercent)},
         {"deviation_percent", std::lround(std::sqrt(estimate.variance) * kFullPercent)}});
    core_.metrics.Set(kInterference.name, is_known ? std::exp(estimate.log_speed) : 1,
                      kInterference.label, pair.slowed + " beside " + pair.neighbour);
  }

  OwnerCore<Platform, Port>& core_;
  logging::EventBudget budget_{kLinesPerSecond};
};

}  // namespace clementineloom::entry
