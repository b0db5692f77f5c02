#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clementineloom/workload/plan_request.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/step_waits.h"
#include "codec/task_name.h"
#include "entry/jobs/last_job_events.h"
#include "entry/owner/describes_hold.h"
#include "entry/owner/run_hold.h"
#include "entry/owner/run_stage_name.h"
#include "entry/owner/wait_reason_name.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Logs each job whose turn has come and that has had nothing at work for very long, once
/// for each wait: what its step waits for, its last event as this instance has read it, and the run
/// that holds room for it. Thread safety: none; use from one thread.
class JobWaitLog {
 public:
  /// Precondition: the events outlive the log.
  /// @param epoch of the owner that writes the log
  JobWaitLog(const LastJobEvents& events, std::uint64_t epoch) : events_(events), epoch_(epoch) {}

  /// @brief Logs the jobs that have waited for very long and were not logged before.
  /// @param waiting the steps whose turn has come and whose jobs have nothing at work, by job
  /// @param may_place whether this owner places tasks now
  /// @param describe_hold tells why a run holds room
  void Check(const workload::PlanRequest& request, std::span<const workload::StepId> waiting,
             bool may_place, const DescribesHold auto& describe_hold) {
    std::map<std::string, Wait> waits;
    std::vector<workload::StepId> due;
    for (const workload::StepId& it : waiting) {
      if (waits.contains(it.job)) {
        continue;
      }
      const auto known = waits_.find(it.job);
      Wait wait = known == waits_.end() ? Wait{request.now, false} : known->second;
      const bool is_long = request.now - wait.since >= kVeryLongWait;
      if (is_long && !wait.is_logged && budget_.Allow(request.now)) {
        due.push_back(it);
        wait.is_logged = true;
      }
      waits.emplace(it.job, wait);
    }
    waits_ = std::move(waits);
    if (due.empty()) {
      return;
    }
    const HeldRuns held = HeldRunsOf(request);
    for (const workload::StepWait& it : workload::DescribeStepWaits(request, due)) {
      const auto held_run = held.find(it.step.job);
      const HeldRun run = held_run == held.end() ? HeldRun() : held_run->second;
      const std::optional<RunHold> hold =
          run.run == nullptr ? std::nullopt
                             : std::optional(describe_hold(std::string(run.worker), run.run->run));
      Log(request, it, run, hold, may_place);
    }
  }

 private:
  struct Wait {
    workload::SteadyTime since;
    bool is_logged = false;
  };
  struct HeldRun {
    const workload::PlacedRun* run = nullptr;
    std::string_view worker;
  };
  // One run of each job that holds room.
  using HeldRuns = std::map<std::string_view, HeldRun>;

  // Longer than the lease of a lost worker.
  static constexpr workload::Milliseconds kVeryLongWait{10'000};
  static constexpr std::uint32_t kLinesPerSecond = 20;

  static HeldRuns HeldRunsOf(const workload::PlanRequest& request) {
    HeldRuns held;
    for (const auto& [id, worker] : request.workers) {
      for (const auto& [run, placed] : worker.runs) {
        held.try_emplace(run.task.step.job, HeldRun{&placed, id});
      }
    }
    return held;
  }

  static std::int64_t AgeMs(workload::SteadyTime now, workload::SteadyTime since) {
    return std::chrono::duration_cast<workload::Milliseconds>(now - since).count();
  }

  // The reason comes first, so that it stays in a line that is cut off.
  // @param hold of the held run, if there is one
  void Log(const workload::PlanRequest& request, const workload::StepWait& wait,
           const HeldRun& held, const std::optional<RunHold>& hold, bool may_place) {
    const workload::StepId& step = wait.step;
    const JobEvent* event = events_.Find(step.job);
    const workload::PlacedRun* run = held.run;
    const bool is_held = wait.reason == workload::WaitReason::kHeldRuns && hold;
    logging::LogEvent(
        logging::LogLevel::kWarning, "job_waits",
        {{"job", step.job},
         {"occurrence", step.occurrence},
         {"step", step.step},
         {"waited_ms", AgeMs(request.now, waits_.at(step.job).since)},
         {"held_reason", hold ? RunHoldReasonName(hold->reason) : ""},
         {"held_contact", hold ? WorkerContactName(hold->contact) : ""},
         {"reason", WaitReasonName(wait.reason)},
         {"ends_in_ms", is_held ? hold->ends_in_ms : wait.ends_in_ms},
         {"may_place", may_place ? 1 : 0},
         {"last_event", event == nullptr ? "" : JobEventName(event->kind)},
         {"last_task", event == nullptr ? "" : event->task},
         {"last_run", event == nullptr ? 0 : event->run},
         {"last_epoch", event == nullptr ? 0 : event->epoch},
         {"last_event_ms", event == nullptr ? 0 : AgeMs(request.now, event->read_at)},
         {"is_loaded", event != nullptr && event->is_loaded ? 1 : 0},
         {"held_task", run == nullptr ? "" : codec::TaskName(run->run.task)},
         {"held_run", run == nullptr ? 0 : run->run.run},
         {"held_by", held.worker},
         {"held_stage", run == nullptr ? std::string_view() : RunStageName(run->stage)},
         {"epoch", epoch_},
         {"left_out", budget_.TakeLeftOut()}});
  }

  const LastJobEvents& events_;
  const std::uint64_t epoch_;
  // Jobs that wait, since when, and whether they have been logged.
  std::map<std::string, Wait> waits_;
  logging::EventBudget budget_{kLinesPerSecond};
};

}  // namespace clementineloom::entry
