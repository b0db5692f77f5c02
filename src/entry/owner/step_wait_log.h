#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <span>
#include <utility>
#include <vector>

#include "clementineloom/workload/step_waits.h"
#include "codec/task_name.h"
#include "entry/owner/run_stage_name.h"
#include "entry/owner/wait_reason_name.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Logs what a step waits for, once for each step whose job has had no task at work for
/// long. Thread safety: none; use from one thread.
class StepWaitLog {
 public:
  /// @brief Logs the steps that have waited for long and were not logged before.
  /// @param waiting all steps that wait now
  void Check(const workload::PlanRequest& request, std::span<const workload::StepId> waiting) {
    std::map<workload::StepId, Wait> waits;
    std::vector<workload::StepId> due;
    for (const workload::StepId& it : waiting) {
      const auto known = waits_.find(it);
      Wait wait = known == waits_.end() ? Wait{request.now, false} : known->second;
      const bool is_long = request.now - wait.since >= kLongWait;
      if (is_long && !wait.is_logged && budget_.Allow(request.now)) {
        due.push_back(it);
        wait.is_logged = true;
      }
      waits.emplace(it, wait);
    }
    waits_ = std::move(waits);
    // Together, because the rooms of all workers are counted for the first of them.
    for (const workload::StepWait& it : workload::DescribeStepWaits(request, due)) {
      const auto waited = request.now - waits_.at(it.step).since;
      Log(it, std::chrono::duration_cast<workload::Milliseconds>(waited));
    }
  }

 private:
  struct Wait {
    workload::SteadyTime since;
    bool is_logged = false;
  };

  // Most steps find room, or their runs begin, well within this time.
  static constexpr workload::Milliseconds kLongWait{3'000};
  static constexpr std::uint32_t kLinesPerSecond = 20;

  // The reason and the counts come first, so that they stay in a line that is cut off.
  void Log(const workload::StepWait& wait, workload::Milliseconds waited) {
    const auto& held = wait.held_run;
    const workload::WorkerCounts& workers = wait.workers;
    logging::LogEvent(logging::LogLevel::kWarning, "step_waits",
                      {{"job", wait.step.job},
                       {"occurrence", wait.step.occurrence},
                       {"step", wait.step.step},
                       {"waited_ms", waited.count()},
                       {"reason", WaitReasonName(wait.reason)},
                       {"ends_in_ms", wait.ends_in_ms},
                       {"open", wait.open_tasks},
                       {"held", wait.held_tasks},
                       {"usable", workers.usable},
                       {"reserved", workers.reserved},
                       {"full", workers.full},
                       {"unattached", workers.unattached},
                       {"backing_off", workers.backing_off},
                       {"evacuated", workers.evacuated},
                       {"leaving", workers.leaving},
                       {"without_label", workers.without_label},
                       {"unapproved", workers.unapproved},
                       {"claims", wait.claims},
                       {"urgent_forecast", wait.urgent_forecast},
                       {"held_task", held ? codec::TaskName(held->run.task) : ""},
                       {"held_run", held ? held->run.run : 0},
                       {"held_by", held ? held->worker : ""},
                       {"held_stage", held ? RunStageName(held->stage) : ""},
                       {"cpu", wait.needed.cpu_millicores},
                       {"memory_mb", wait.needed.memory_mb},
                       {"accelerators", wait.needed.accelerators},
                       {"left_out", budget_.TakeLeftOut()}});
  }

  // Steps that wait, since when, and whether they have been logged.
  std::map<workload::StepId, Wait> waits_;
  logging::EventBudget budget_{kLinesPerSecond};
};

}  // namespace clementineloom::entry
