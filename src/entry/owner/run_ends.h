#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/workload/run_outcome.h"
#include "codec/task_name.h"
#include "entry/owner/late_starts.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/owner/run_stops.h"

namespace clementineloom::entry {

/// @brief Processes the ends of runs: releases their capacity, and decides the consequences for the
/// task, its job and the worker. Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class RunEnds {
 public:
  using Records = typename OwnerCore<Platform, Port>::Records;

  RunEnds(OwnerCore<Platform, Port>& core, RunStops<Platform, Port>& stops,
          LateStarts<Platform, Port>& late_starts)
      : core_(core), stops_(stops), late_starts_(late_starts) {}

  /// @brief Processes one end. Its records are applied and added to records; the caller appends
  /// them.
  void ApplyEnd(const std::string& worker, const workload::TaskRun& run, workload::EndReason reason,
                const std::string& checkpoint, Records& records) {
    core_.metrics.Count(kRunsEnded.name, kRunsEnded.label, workload::EndReasonName(reason));
    core_.workers[worker].Remove(run);
    NoteWorkerHealth(worker, run, reason);
    const workload::RunOutcome outcome =
        workload::OutcomeOf(core_.jobs, worker, run, reason, checkpoint);
    if (reason != workload::EndReason::kDone) {
      LogEnd(worker, run, reason, checkpoint, outcome);
    }
    for (const workload::WorkloadRecord& it : outcome.records) {
      // Applied now because later ends of the same list depend on this one.
      core_.jobs.Apply(it);
      records.push_back(it);
    }
    if (outcome.breaks_gang) {
      stops_.BreakGang(run);
    }
    if (outcome.ended_job) {
      if (*outcome.ended_job == workload::JobState::kFailed) {
        LogFailedJob(worker, run, outcome);
      }
      OnJobEnded(run.task.step.job, *outcome.ended_job);
    } else if (reason == workload::EndReason::kDone && !outcome.records.empty()) {
      stops_.StopOtherRuns(run);
    }
  }

  /// @brief Ends all runs of a worker that is surely gone, and records the ends.
  void LoseRuns(const std::string& id, std::string_view reason) {
    LoseRunsWhere(id, reason, [](const workload::PlacedRun&) { return true; });
  }

  /// @brief Ends the runs of a worker whose lease is over, and records the ends. Runs that a late
  /// order may still start remain.
  void LoseRunsAfterLease(const std::string& id) {
    LoseRunsWhere(id, "the lease has ended", [this, &id](const workload::PlacedRun& it) {
      return !late_starts_.IsHeldAfterLease(id, it);
    });
  }

  /// @brief Ends the runs of an earlier incarnation of a worker and records the ends. Runs that the
  /// current incarnation has listed, and starts that may still reach it, are left to its lists.
  /// @param started_at_ms start time of the current incarnation
  void LoseRunsOfEarlierIncarnation(const std::string& id, std::int64_t started_at_ms) {
    LoseRunsWhere(id, "the worker has restarted", [&](const workload::PlacedRun& it) {
      return it.listed_in_incarnation != 0 && it.listed_in_incarnation != started_at_ms &&
             !it.start_copies.MayArrive() && !it.former_order_until;
    });
  }

 private:
  template <class Predicate>
  void LoseRunsWhere(const std::string& id, std::string_view reason, Predicate is_lost) {
    std::vector<workload::PlacedRun> lost;
    for (const auto& [run, placed] : core_.workers[id].runs) {
      if (placed.stage != workload::RunStage::kRecording && is_lost(placed)) {
        lost.push_back(placed);
      }
    }
    if (lost.empty()) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kWarning, "runs_lost",
                      {{"worker", id}, {"runs", lost.size()}, {"reason", reason}});
    Records records;
    for (const workload::PlacedRun& it : lost) {
      ApplyEnd(id, it.run, workload::EndReason::kLapsed, it.checkpoint, records);
    }
    core_.AppendApplied(records, [] {});
    core_.schedule_plan();
  }

  // An end without consequences, for example of a run that is not the task's recorded one, has no
  // records.
  void LogEnd(const std::string& worker, const workload::TaskRun& run, workload::EndReason reason,
              const std::string& checkpoint, const workload::RunOutcome& outcome) const {
    logging::LogEvent(logging::LogLevel::kInfo, "run_ended",
                      {{"task", codec::TaskName(run.task)},
                       {"run", run.run},
                       {"worker", worker},
                       {"reason", static_cast<int>(reason)},
                       {"checkpoint", checkpoint},
                       {"counts", outcome.records.empty() ? 0 : 1},
                       {"failures", outcome.failures},
                       {"epoch", core_.options.epoch}});
  }

  // Precondition: the end is the one that decided that the job has failed.
  void LogFailedJob(const std::string& worker, const workload::TaskRun& run,
                    const workload::RunOutcome& outcome) const {
    logging::LogEvent(
        logging::LogLevel::kWarning, "job_failed",
        {{"job", run.task.step.job},
         {"task", codec::TaskName(run.task)},
         {"run", run.run},
         {"worker", worker},
         {"failures", outcome.failures},
         {"max_attempts", core_.jobs.Find(run.task.step.job)->submission->queue.max_attempts},
         {"epoch", core_.options.epoch}});
  }

  void OnJobEnded(const std::string& job, workload::JobState state) {
    core_.metrics.Count(kJobsEnded.name, kJobsEnded.label, workload::JobStateName(state));
    const workload::JobEntry* entry = core_.jobs.Find(job);
    if (entry != nullptr && entry->submission) {
      core_.metrics.Observe(
          kJobSeconds.name,
          workload::Milliseconds(core_.port.UnixNowMs() - entry->submission->accepted_at_ms));
    }
    logging::LogEvent(
        logging::LogLevel::kInfo, "job_ended",
        {{"job", job}, {"state", static_cast<int>(state)}, {"epoch", core_.options.epoch}});
    core_.advice.DropJob(job);
    stops_.StopRunsOf(job);
  }

  void NoteWorkerHealth(const std::string& id, const workload::TaskRun& run,
                        workload::EndReason reason) {
    workload::PoolWorker& worker = core_.workers[id];
    if (reason == workload::EndReason::kDone) {
      worker.consecutive_failures = 0;
      return;
    }
    if (reason != workload::EndReason::kFailed) {
      return;
    }
    std::string& last_job = last_failed_job_[id];
    if (last_job == run.task.step.job) {
      return;
    }
    last_job = run.task.step.job;
    ++worker.consecutive_failures;
    core_.BackOff(id, worker.consecutive_failures > 1 ? OwnerTiming::kLongBackoff
                                                      : OwnerTiming::kFailureBackoff);
  }

  OwnerCore<Platform, Port>& core_;
  RunStops<Platform, Port>& stops_;
  LateStarts<Platform, Port>& late_starts_;
  // For each worker, the job of the last run that failed there: consecutive failures of one job
  // count once.
  std::map<std::string, std::string> last_failed_job_;
};

}  // namespace clementineloom::entry
