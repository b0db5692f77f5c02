#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <set>
#include <span>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/future_acceptance.h"
#include "clementineloom/workload/step_waits.h"
#include "clementineloom/workload/submission_rate.h"
#include "clementineloom/workload/task_planner.h"
#include "clementineloom/workload/urgent_demand.h"
#include "clementineloom/workload/wait_times.h"
#include "codec/task_name.h"
#include "entry/jobs/last_job_events.h"
#include "entry/owner/advice_requests.h"
#include "entry/owner/job_wait_log.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_timing.h"
#include "entry/owner/run_holds.h"
#include "entry/owner/run_starts.h"
#include "entry/owner/run_stops.h"
#include "entry/owner/step_wait_log.h"

namespace clementineloom::entry {

/// @brief Plans starts, records them, and orders them once the records are stored.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class TaskPlacement {
 public:
  /// Precondition: the references outlive the placement.
  TaskPlacement(OwnerCore<Platform, Port>& core, RunStarts<Platform, Port>& starts,
                RunStops<Platform, Port>& stops, const RunHolds<Platform, Port>& holds,
                const LastJobEvents& job_events)
      : core_(core),
        starts_(starts),
        stops_(stops),
        holds_(holds),
        advice_requests_(core),
        job_waits_(job_events, core.options.epoch) {}

  /// @brief Schedules a plan after a short delay; all events until then share it.
  void SchedulePlan() {
    if (!is_plan_due_) {
      is_plan_due_ = true;
      core_.port.After(NextPlanDelay(), core_.Guard([this] {
        is_plan_due_ = false;
        const auto begun_at = core_.port.Now();
        Plan();
        last_plan_ended_at_ = core_.port.Now();
        last_plan_duration_ = last_plan_ended_at_ - begun_at;
        core_.metrics.Observe(kPlanSeconds.name, last_plan_duration_);
      }));
    }
  }

  /// @brief Notes which steps have waited for too long, and logs what keeps jobs that stand still,
  /// also while this owner may place nothing. To be called at short intervals, before a plan.
  void CheckWaits() {
    const workload::SteadyTime now = core_.port.Now();
    if (now - waits_checked_at_ < kWaitCheckInterval) {
      return;
    }
    waits_checked_at_ = now;
    BoundAcceptance();
    const std::vector<workload::StepId> waiting =
        workload::WaitingSteps(RequestOf(), SilentWorkers());
    wait_times_.Note(now, waiting);
    overdue_steps_ = wait_times_.LongerThan(kMaxWaitForBetterRoom);
    const workload::PlanRequest request = RequestOf();
    const auto describe_hold = [this](const std::string& worker, const workload::TaskRun& run) {
      return holds_.Describe(worker, run);
    };
    step_waits_.Check(request, wait_times_, describe_hold);
    job_waits_.Check(request, waiting, MayPlace(), describe_hold);
  }

  /// @brief Bounds the times at which jobs count as accepted by this instance's clock. To be called
  /// when submissions were applied; the clock itself is looked at with the waits.
  void BoundAcceptance() {
    // Only in this owner's table: a successor bounds the times by its own clock.
    for (const workload::SubmissionSet& it :
         workload::AcceptedInTheFuture(core_.jobs, core_.port.UnixNowMs())) {
      core_.jobs.Apply(it);
    }
  }

 private:
  using Records = typename OwnerCore<Platform, Port>::Records;

  // Batches events that arrive together into one plan.
  static constexpr workload::Milliseconds kPlanDelay{4};
  // Pause between two plans, as a multiple of the duration of the last one, and its upper bound, a
  // fraction of the time within which urgent work has to start.
  static constexpr int kPlanPauseFactor = 4;
  static constexpr workload::Milliseconds kMaxPlanPause{150};
  static constexpr workload::Milliseconds kWaitCheckInterval{500};
  // Longest wait of a job with nothing at work for better room than there is, unless its service is
  // busy. The other half covers two intervals of the checks, the record of the start and the order.
  static constexpr workload::Milliseconds kMaxWaitForBetterRoom = OwnerTiming::kMaxStandstill / 2;

  // Leaves time for lease renewals and ends where plans take long, as with a large fleet or a slow
  // processor.
  workload::Milliseconds NextPlanDelay() const {
    const auto pause =
        std::min<std::chrono::nanoseconds>(kPlanPauseFactor * last_plan_duration_, kMaxPlanPause);
    const auto until_pause_ends =
        std::chrono::ceil<workload::Milliseconds>(last_plan_ended_at_ + pause - core_.port.Now());
    return std::max(kPlanDelay, until_pause_ends);
  }

  void Plan() {
    if (!MayPlace()) {
      return;
    }
    RankSubmissions();
    const workload::PlanRequest request = RequestOf();
    workload::StartPlan plan = workload::PlanStarts(request);
    claims_ = std::move(plan.claims);
    NoteUrgentLoads(request.now, plan.urgent_loads, urgent_demand_);
    NoteUrgentLoads(request.now, plan.team_urgent_loads, team_urgent_demand_);
    LogNewWaits(plan.waits);
    if (plan.question && advice_requests_.MayAsk()) {
      advice_requests_.Ask(*plan.question);
    }
    for (const workload::Preemption& it : plan.preemptions) {
      Preempt(it);
    }
    if (!plan.starts.empty()) {
      RecordStarts(std::move(plan.starts));
    }
  }

  [[nodiscard]] bool MayPlace() const { return !core_.is_resigning && core_.HasCurrentView(); }

  workload::PlanRequest RequestOf() const {
    workload::PlanRequest request{
        core_.jobs, core_.workers,    core_.operators.evacuated(), core_.advice,
        claims_,    core_.port.Now(), core_.port.UnixNowMs()};
    request.teams = Teams();
    request.urgent_reserve = ForecastOf(urgent_demand_);
    request.overdue_steps = overdue_steps_;
    request.team_urgent_forecast = ForecastOf(team_urgent_demand_);
    request.jobs_beyond_rate = jobs_beyond_rate_;
    request.speeds = &core_.speeds.speeds();
    request.interference = &core_.speeds.interference();
    return request;
  }

  // The ranks follow from the submissions and the teams' rates, and change with them only.
  void RankSubmissions() {
    const auto& config = core_.operators.config();
    const std::pair inputs{core_.jobs.submissions_applied(), config ? config->version : 0};
    if (std::exchange(ranked_inputs_, inputs) != inputs) {
      jobs_beyond_rate_ = workload::JobsBeyondRate(core_.jobs, Teams());
    }
  }

  using UrgentDemands = std::map<std::string, workload::UrgentDemand, std::less<>>;

  workload::AcceleratorsByService ForecastOf(const UrgentDemands& demands) const {
    workload::AcceleratorsByService forecast;
    for (const auto& [name, demand] : demands) {
      forecast.emplace(name, demand.Forecast(core_.port.Now()));
    }
    return forecast;
  }

  static void NoteUrgentLoads(workload::SteadyTime now, const workload::UrgentLoads& loads,
                              UrgentDemands& demands) {
    for (const auto& [name, load] : loads) {
      demands[name].Note(now, load);
    }
  }

  std::span<const workload::TeamAccess> Teams() const {
    const auto& config = core_.operators.config();
    return config ? std::span<const workload::TeamAccess>(config->teams)
                  : std::span<const workload::TeamAccess>();
  }

  // Workers whose last poll had no answer.
  std::set<std::string> SilentWorkers() const {
    std::set<std::string> silent;
    for (const auto& [id, link] : core_.links) {
      if (link.failures > 0) {
        silent.insert(id);
      }
    }
    return silent;
  }

  // Logs each waiting step once, when it begins to wait.
  void LogNewWaits(const std::vector<workload::GuaranteeWait>& waits) {
    std::set<workload::StepId> waiting;
    for (const workload::GuaranteeWait& it : waits) {
      if (waiting.insert(it.step).second && !waiting_.contains(it.step)) {
        LogWait(it);
      }
    }
    waiting_ = std::move(waiting);
  }

  static void LogWait(const workload::GuaranteeWait& wait) {
    logging::LogEvent(logging::LogLevel::kWarning, "guaranteed_step_waits",
                      {{"job", wait.step.job},
                       {"step", wait.step.step},
                       {"team", wait.team},
                       {"waited_ms", wait.waited_ms},
                       {"guaranteed", wait.guaranteed},
                       {"held", wait.held},
                       {"needed", wait.needed},
                       {"free", wait.free},
                       {"stoppable", wait.stoppable},
                       {"borrowed", wait.borrowed},
                       {"claims", wait.claims},
                       {"one_rack", wait.prefers_one_rack}});
  }

  void Preempt(const workload::Preemption& preemption) {
    logging::LogEvent(logging::LogLevel::kInfo, "run_preempted",
                      {{"task", codec::TaskName(preemption.run.task)},
                       {"run", preemption.run.run},
                       {"worker", preemption.worker},
                       {"for", codec::TaskName(preemption.beneficiary)}});
    stops_.StopEarly(preemption.worker, preemption.run, "preempted");
  }

  void RecordStarts(std::vector<workload::PlannedStart> starts) {
    Records records;
    core_.metrics.Count(kRunsStarted.name, {}, {}, starts.size());
    for (const workload::PlannedStart& it : starts) {
      LogFirstStart(it);
      const workload::TaskId& task = it.run.run.task;
      const std::uint32_t failures = core_.jobs.Find(task.step.job)->FailedRuns(task);
      workload::TaskRecord record{workload::TaskPhase::kPlaced, it.run.run.run, it.worker, failures,
                                  it.run.checkpoint};
      records.push_back(workload::TaskSet{task, std::move(record)});
      core_.workers[it.worker].Add(it.run);
      // One start for each job, until the next check shows whether it has begun.
      std::erase_if(overdue_steps_,
                    [&](const workload::StepId& step) { return step.job == task.step.job; });
    }
    core_.Append(records, [this, starts = std::move(starts)] {
      for (const workload::PlannedStart& it : starts) {
        OrderRecordedStart(it);
      }
    });
  }

  void LogFirstStart(const workload::PlannedStart& start) {
    const workload::TaskId& task = start.run.run.task;
    const workload::JobEntry& job = *core_.jobs.Find(task.step.job);
    if (start.run.run.run > 1) {
      logging::LogEvent(logging::LogLevel::kInfo, "task_run_again",
                        {{"task", codec::TaskName(task)},
                         {"run", start.run.run.run},
                         {"worker", start.worker},
                         {"epoch", core_.options.epoch}});
    } else if (task.step.step == 0 && task.index == 0) {
      const workload::Milliseconds waited(core_.port.UnixNowMs() -
                                          job.submission->DueAtMs(task.step.occurrence));
      core_.metrics.Observe(kStartWaitSeconds.name, waited);
      logging::LogEvent(logging::LogLevel::kInfo, "job_started",
                        {{"job", task.step.job},
                         {"occurrence", task.step.occurrence},
                         {"worker", start.worker},
                         {"waited_ms", waited.count()},
                         {"epoch", core_.options.epoch}});
    } else if (task.index == 0) {
      logging::LogEvent(logging::LogLevel::kInfo, "step_started",
                        {{"job", task.step.job},
                         {"occurrence", task.step.occurrence},
                         {"step", task.step.step},
                         {"worker", start.worker},
                         {"epoch", core_.options.epoch}});
    }
  }

  void OrderRecordedStart(const workload::PlannedStart& start) {
    workload::PlacedRun* run = core_.FindRun(start.worker, start.run.run);
    if (run == nullptr || run->stage != workload::RunStage::kRecording) {
      return;
    }
    const workload::JobEntry* job = core_.jobs.Find(start.run.run.task.step.job);
    if (job == nullptr || !job->IsOpen()) {
      core_.workers[start.worker].Remove(start.run.run);
      return;
    }
    run->stage = workload::RunStage::kStarting;
    starts_.OrderStart(start);
  }

  OwnerCore<Platform, Port>& core_;
  RunStarts<Platform, Port>& starts_;
  RunStops<Platform, Port>& stops_;
  const RunHolds<Platform, Port>& holds_;
  AdviceRequests<Platform, Port> advice_requests_;
  // Capacity that the last plan reserved for waiting urgent tasks.
  std::vector<workload::RoomClaim> claims_;
  // By service; the room that less urgent work leaves free follows it.
  UrgentDemands urgent_demand_;
  // By team with a quota; the room in the quota that its other work leaves free follows it.
  UrgentDemands team_urgent_demand_;
  // Steps within their team's guarantee that the last plan left waiting.
  std::set<workload::StepId> waiting_;
  workload::WaitTimes wait_times_;
  // Steps that have waited for long at the last check.
  std::vector<workload::StepId> overdue_steps_;
  // Jobs that their teams submitted beyond their rates, and the number of submissions and the
  // version of the configuration that they follow from.
  std::vector<std::string> jobs_beyond_rate_;
  std::optional<std::pair<std::uint64_t, std::uint64_t>> ranked_inputs_;
  StepWaitLog step_waits_;
  JobWaitLog job_waits_;
  workload::SteadyTime waits_checked_at_;
  bool is_plan_due_ = false;
  // End and duration of the last plan.
  workload::SteadyTime last_plan_ended_at_;
  std::chrono::nanoseconds last_plan_duration_{0};
};

}  // namespace clementineloom::entry
