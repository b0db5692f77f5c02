#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <utility>
#include <vector>

#include "clementineloom/workload/step_waits.h"
#include "clementineloom/workload/wait_times.h"
#include "codec/task_name.h"
#include "entry/owner/describes_hold.h"
#include "entry/owner/run_hold.h"
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
  /// @param times of all steps that wait now
  /// @param describe_hold tells why a run holds room
  void Check(const workload::PlanRequest& request, const workload::WaitTimes& times,
             const DescribesHold auto& describe_hold) {
    std::set<workload::StepId> logged;
    std::vector<workload::StepId> due;
    for (const workload::StepId& it : times.LongerThan(kLongWait)) {
      const bool is_new = !logged_.contains(it);
      if (is_new && !budget_.Allow(request.now)) {
        continue;
      }
      logged.insert(it);
      if (is_new) {
        due.push_back(it);
      }
    }
    logged_ = std::move(logged);
    // Together, because the rooms of all workers are counted for the first of them.
    for (const workload::StepWait& it : workload::DescribeStepWaits(request, due)) {
      const std::optional<RunHold> hold =
          it.held_run ? std::optional(describe_hold(it.held_run->worker, it.held_run->run))
                      : std::nullopt;
      Log(it, hold, times.LengthOf(it.step));
    }
  }

 private:
  // Most steps find room, or their runs begin, well within this time.
  static constexpr workload::Milliseconds kLongWait{3'000};
  static constexpr std::uint32_t kLinesPerSecond = 20;

  // The reason and the counts come first, so that they stay in a line that is cut off.
  // @param hold of the held run, if there is one
  void Log(const workload::StepWait& wait, const std::optional<RunHold>& hold,
           workload::Milliseconds waited) {
    const auto& held = wait.held_run;
    const bool is_held = wait.reason == workload::WaitReason::kHeldRuns && hold;
    const workload::WorkerCounts& workers = wait.workers;
    logging::LogEvent(logging::LogLevel::kWarning, "step_waits",
                      {{"job", wait.step.job},
                       {"occurrence", wait.step.occurrence},
                       {"step", wait.step.step},
                       {"waited_ms", waited.count()},
                       {"held_reason", hold ? RunHoldReasonName(hold->reason) : ""},
                       {"held_contact", hold ? WorkerContactName(hold->contact) : ""},
                       {"reason", WaitReasonName(wait.reason)},
                       {"ends_in_ms", is_held ? hold->ends_in_ms : wait.ends_in_ms},
                       {"open", wait.open_tasks},
                       {"held", wait.held_tasks},
                       {"usable", workers.usable},
                       {"reserved", workers.reserved},
                       {"full", workers.full},
                       {"unattached", workers.unattached},
                       {"overdue", wait.is_overdue ? 1 : 0},
                       {"backing_off", workers.backing_off},
                       {"evacuated", workers.evacuated},
                       {"leaving", workers.leaving},
                       {"without_label", workers.without_label},
                       {"unapproved", workers.unapproved},
                       {"claims", wait.claims},
                       {"urgent_forecast", wait.urgent_forecast},
                       {"team", wait.team},
                       {"team_accelerators", wait.team_held.accelerators},
                       {"quota_accelerators", wait.team_quota.accelerators},
                       {"team_cpu", wait.team_held.cpu_millicores},
                       {"quota_cpu", wait.team_quota.cpu_millicores},
                       {"team_memory_mb", wait.team_held.memory_mb},
                       {"quota_memory_mb", wait.team_quota.memory_mb},
                       {"held_task", held ? codec::TaskName(held->run.task) : ""},
                       {"held_run", held ? held->run.run : 0},
                       {"held_by", held ? held->worker : ""},
                       {"held_stage", held ? RunStageName(held->stage) : ""},
                       {"cpu", wait.needed.cpu_millicores},
                       {"memory_mb", wait.needed.memory_mb},
                       {"accelerators", wait.needed.accelerators},
                       {"left_out", budget_.TakeLeftOut()}});
  }

  // Steps that wait and have been logged.
  std::set<workload::StepId> logged_;
  logging::EventBudget budget_{kLinesPerSecond};
};

}  // namespace clementineloom::entry
