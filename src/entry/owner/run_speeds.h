#pragma once

#include <chrono>
#include <cstdint>
#include <string>

#include "clementineloom/workload/placed_run.h"
#include "clementineloom/workload/progress_sample.h"
#include "entry/owner/owner_core.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Turns the progress that workers report into samples of their speed, and logs each worker
/// whose speed turns out to be another one than before.
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
    const workload::StepSpec& spec = *core_.jobs.FindStep(run.run.task.step);
    const auto speed =
        core_.speeds.Add({worker, run.run.task.step, spec.is_gang, gained, span}, core_.port.Now());
    if (speed && budget_.Allow(core_.port.Now())) {
      logging::LogEvent(logging::LogLevel::kInfo, "worker_speed",
                        {{"worker", worker},
                         {"speed_percent", static_cast<int>(*speed * kFullPercent)},
                         {"unlike_others", core_.speeds.speeds().size()},
                         {"left_out", budget_.TakeLeftOut()}});
    }
  }

  OwnerCore<Platform, Port>& core_;
  logging::EventBudget budget_{kLinesPerSecond};
};

}  // namespace clementineloom::entry
