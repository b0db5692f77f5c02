#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/expected_wait.h"
#include "clementineloom/workload/owner_contact.h"
#include "clementineloom/workload/owner_election.h"
#include "clementineloom/workload/owner_hand_over.h"
#include "clementineloom/workload/rate_refusal.h"
#include "clementineloom/workload/recent_starts.h"
#include "clementineloom/workload/submission_rate.h"
#include "entry/jobs/last_job_events.h"
#include "entry/owner/drain_moves.h"
#include "entry/owner/fill_pacing.h"
#include "entry/owner/late_starts.h"
#include "entry/owner/lease_expiry.h"
#include "entry/owner/lease_withholding.h"
#include "entry/owner/order_contact.h"
#include "entry/owner/owner_core.h"
#include "entry/owner/owner_hooks.h"
#include "entry/owner/run_ends.h"
#include "entry/owner/run_holds.h"
#include "entry/owner/run_starts.h"
#include "entry/owner/run_stops.h"
#include "entry/owner/task_placement.h"
#include "entry/owner/team_gauges.h"
#include "entry/owner/worker_poller.h"

namespace clementineloom::entry {

/// @brief Owns the workers while its epoch is the newest: places tasks, orders starts and stops,
/// renews leases and records ends.
///
/// A start is recorded before it is ordered, and an end before it is acknowledged to its worker, so
/// that another instance can take over at any time. Changes are applied to the table immediately
/// and reach the store in the same order. When the store or a worker reveals a higher epoch, or
/// OwnerContact does not allow the owner to continue without the store, on_lost runs once and no
/// further orders are sent. The same follows the stored resignation of an owner that reaches no
/// worker for as long as OwnerHandOver allows.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class Owner {
 public:
  /// @param recent_starts read by this instance before it became the owner
  /// @param job_events read by this instance until now
  Owner(Port& port, workload::JobTable& jobs, const workload::RecentStarts& recent_starts,
        const LastJobEvents& job_events, const OperatorView& operators,
        metrics::MetricRegistry& metrics, std::unique_ptr<Appender<Platform, Port>> appender,
        OwnerOptions options, OwnerHooks hooks)
      : core_(port, jobs, operators, metrics, std::move(appender), std::move(options),
              std::move(hooks.on_lost)),
        order_contact_(core_),
        stops_(core_, order_contact_),
        starts_(core_, order_contact_, stops_),
        late_starts_(core_),
        lease_expiry_(core_, port.Now()),
        holds_(core_, lease_expiry_),
        ends_(core_, stops_, late_starts_),
        pacing_(core_),
        withholding_(core_),
        poller_(core_, starts_, stops_, ends_, late_starts_, pacing_, withholding_),
        placement_(core_, starts_, stops_, holds_, job_events),
        drain_moves_(core_, stops_),
        team_gauges_(core_),
        recent_starts_(recent_starts),
        on_hand_over_(std::move(hooks.on_hand_over)),
        has_peers_(std::move(hooks.has_peers)),
        took_over_at_(port.Now()) {
    core_.poll_worker = [this](const std::string& id) { poller_.Poll(id); };
    core_.schedule_plan = [this] { placement_.SchedulePlan(); };
  }

  /// @brief Adopts the recorded runs. Call once, before the first OnWorker.
  void Start() {
    placement_.BoundAcceptance();
    AdoptRuns();
    DropTasksOfEndedJobs();
    withholding_.RecordInherited();
    PollAdopted();
    Tick();
    SendHeartbeat();
  }

  /// @brief Handles a new or changed entry of a worker.
  void OnWorker(const workload::WorkerInfo& info) {
    workload::PoolWorker& worker = core_.workers[info.id];
    worker.info = info;
    worker.is_listed = true;
    drain_moves_.OnWorker(info);
    poller_.OnEntry(info.id, info.started_at_ms);
    if (!worker.is_attached) {
      poller_.Poll(info.id);
    }
    placement_.SchedulePlan();
  }

  /// @brief Handles the removal of a worker's entry. Its runs are known to have ended only once its
  /// lease is over.
  void OnWorkerGone(const std::string& id) {
    const auto it = core_.workers.find(id);
    if (it == core_.workers.end()) {
      return;
    }
    it->second.is_listed = false;
    logging::LogEvent(logging::LogLevel::kInfo, "worker_unlisted",
                      {{"worker", id}, {"runs", it->second.runs.size()}});
  }

  /// @brief Handles a read of the workers' entries.
  /// @param until time up to which all entries are known
  void OnWorkersRead(workload::SteadyTime until) { core_.workers_known_until = until; }

  /// @brief Handles new submissions and cancellations.
  void OnJobsChanged() {
    placement_.BoundAcceptance();
    StopCancelled();
    placement_.SchedulePlan();
  }

  /// @brief Handles a change of the configuration or of the evacuated data centres.
  void OnOperatorsChanged() {
    core_.configured_at = core_.port.Now();
    placement_.SchedulePlan();
  }

  /// @brief The refusal of a submission that is beyond its team's rate and would begin too late, or
  /// nothing. A job within its team's guarantee is not refused.
  [[nodiscard]] std::optional<workload::RateRefusal> RateRefusalOf(
      const workload::JobSubmission& submission, const workload::TeamAccess& team) const {
    if (workload::IsWithinRate(core_.jobs, team, submission.accepted_at_ms) ||
        workload::IsWithinGuarantee(core_.jobs, team, submission)) {
      return std::nullopt;
    }
    return workload::RateRefusal::Of(submission,
                                     workload::ExpectedWait(core_.jobs, core_.workers, submission));
  }

  /// @brief Gives up ownership once all earlier decisions are recorded; done runs afterwards.
  void Resign(std::function<void()> done) {
    core_.is_resigning = true;
    core_.Append({workload::OwnerSet{{core_.options.epoch, core_.options.instance,
                                      workload::OwnerPhase::kResigned}}},
                 [done = std::move(done)] { done(); });
  }

 private:
  using Records = typename OwnerCore<Platform, Port>::Records;

  static constexpr workload::Milliseconds kTickInterval{250};
  static constexpr std::size_t kMaxHeartbeatBacklog = 64;
  static constexpr workload::Milliseconds kIdlePollInterval{1'000};
  static constexpr workload::Milliseconds kRetentionMargin{30'000};
  // Number of records from which on the removal of further jobs waits for the next tick. All jobs
  // that had ended before a change of owner are removed at the same time, and their records must
  // fit one append.
  static constexpr std::size_t kMaxRemovalRecords = 3'000;

  void AdoptRuns() {
    for (const auto& [id, job] : core_.jobs.jobs()) {
      for (const auto& [place, row] : job.tasks) {
        for (std::uint32_t index = 0; index < row.size(); ++index) {
          if (row[index].phase == workload::TaskPhase::kPlaced) {
            Adopt(job, {{id, place.first, place.second}, index}, row[index]);
          }
        }
      }
    }
  }

  void Adopt(const workload::JobEntry& job, const workload::TaskId& task,
             const workload::TaskRecord& record) {
    const workload::StepSpec* spec = core_.jobs.FindStep(task.step);
    workload::PlacedRun run =
        workload::PlacedRun::Of({task, record.run}, spec == nullptr ? workload::StepSpec{} : *spec,
                                job.submission ? job.submission->queue.priority : 0, took_over_at_);
    run.stage = workload::RunStage::kStarting;
    run.is_adopted = true;
    run.former_order_until = recent_starts_.OrderArrivesUntil(run.run);
    run.checkpoint = record.checkpoint;
    if (run.fills_idle_cpu) {
      run.pace_percent.reset();
    }
    workload::PoolWorker& worker = core_.workers[record.worker];
    if (worker.info.id.empty()) {
      worker.info.id = record.worker;
      worker.is_listed = false;
      const workload::ExpiringLease* lease = core_.options.lease_ends.Find(record.worker);
      worker.info.address = lease == nullptr ? std::string() : lease->address;
    }
    core_.links.try_emplace(record.worker);
    worker.Add(std::move(run));
  }

  // Drops what an earlier owner, replaced after it had recorded the end of a job, left of the job's
  // tasks. The records of adopted runs are dropped when these end.
  void DropTasksOfEndedJobs() {
    Records records;
    for (const auto& [id, job] : core_.jobs.jobs()) {
      if (!job.end) {
        continue;
      }
      for (const auto& [place, row] : job.tasks) {
        for (std::uint32_t index = 0; index < row.size(); ++index) {
          const bool is_left = row[index] != workload::TaskRecord{} &&
                               row[index].phase != workload::TaskPhase::kPlaced;
          if (is_left) {
            records.push_back(
                workload::TaskSet{{{id, place.first, place.second}, index}, std::nullopt});
          }
        }
      }
    }
    if (!records.empty()) {
      core_.Append(records, [] {});
    }
  }

  // Polls the workers of adopted runs at the addresses that an earlier owner has recorded: their
  // entries may have expired, and another worker that answers shows that they are gone.
  void PollAdopted() {
    std::vector<std::string> known;
    for (const auto& [id, worker] : core_.workers) {
      if (!worker.info.address.empty()) {
        known.push_back(id);
      }
    }
    for (const std::string& it : known) {
      poller_.Poll(it);
    }
  }

  void Tick() {
    const auto now = core_.port.Now();
    core_.suspension.OnTick(now);
    if (!CheckContact(now)) {
      return;
    }
    CheckSilence(now);
    core_.advice.Expire(now);
    ExpireLeases(now);
    withholding_.Check(now, [this](const std::string& id) { return lease_expiry_.EndOf(id); });
    RemoveUnlistedWorkers();
    drain_moves_.Check(kTickInterval);
    RemoveExpiredJobs(now);
    UpdatePoolMetrics(now);
    team_gauges_.Update(now);
    placement_.CheckWaits();
    placement_.SchedulePlan();
    core_.port.After(kTickInterval, core_.Guard([this] { Tick(); }));
  }

  void SendHeartbeat() {
    if (core_.is_resigning) {
      return;
    }
    if (core_.backlog() < kMaxHeartbeatBacklog) {
      core_.Append({workload::OwnerSet{{core_.options.epoch, core_.options.instance,
                                        workload::OwnerPhase::kActive}}},
                   [] {});
    }
    core_.port.After(workload::OwnerElection::kHeartbeatInterval,
                     core_.Guard([this] { SendHeartbeat(); }));
  }

  // Returns whether this owner may continue; otherwise ownership has been given up.
  bool CheckContact(workload::SteadyTime now) {
    std::size_t listed = 0;
    std::size_t reached = 0;
    for (const auto& [id, worker] : core_.workers) {
      const WorkerLink& link = core_.links[id];
      listed += worker.info.address.empty() ? 0 : 1;
      reached += now - link.last_answered_sent_at <= workload::OwnerContact::kWindow ? 1 : 0;
    }
    lease_expiry_.OnContact(reached, listed, now);
    const auto unconfirmed =
        std::chrono::duration_cast<workload::Milliseconds>(now - core_.confirmed_at);
    if (!workload::OwnerContact::MayContinue(unconfirmed, reached, listed)) {
      core_.LoseOwnership("the store has not confirmed the epoch");
      return false;
    }
    // Idle workers are polled as well, because one of them may reveal a new owner.
    if (unconfirmed > workload::OwnerContact::kGrace) {
      PollIdleWorkers(now);
    }
    return true;
  }

  // Hands over if no worker has answered for too long.
  void CheckSilence(workload::SteadyTime now) {
    std::size_t runs = 0;
    bool is_asking = false;
    for (const auto& [id, worker] : core_.workers) {
      if (worker.is_listed && !worker.info.address.empty()) {
        runs += worker.runs.size();
        is_asking = is_asking || !worker.is_attached || !worker.runs.empty();
      }
    }
    core_.silence.Check(now, is_asking);
    if (core_.is_resigning || core_.silence.length() < workload::OwnerHandOver::kIdleAskedAfter) {
      return;
    }
    PollIdleWorkers(now);
    const workload::HandOverInputs inputs = InputsOfHandOver(now, runs);
    if (workload::OwnerHandOver::IsDue(inputs)) {
      HandOver(inputs, runs);
    }
  }

  // @param runs number of runs on listed workers
  workload::HandOverInputs InputsOfHandOver(workload::SteadyTime now, std::size_t runs) const {
    using workload::Milliseconds;
    workload::HandOverInputs inputs;
    inputs.silence = core_.silence.length();
    inputs.has_answered = core_.silence.has_answered();
    inputs.has_work = runs > 0 || std::any_of(core_.jobs.jobs().begin(), core_.jobs.jobs().end(),
                                              [](const auto& it) { return it.second.IsOpen(); });
    inputs.has_peers = has_peers_();
    inputs.unconfirmed = std::chrono::duration_cast<Milliseconds>(now - core_.confirmed_at);
    if (core_.options.handed_over_at) {
      inputs.since_hand_over =
          std::chrono::duration_cast<Milliseconds>(now - *core_.options.handed_over_at);
    }
    return inputs;
  }

  void HandOver(const workload::HandOverInputs& inputs, std::size_t runs) {
    logging::LogEvent(logging::LogLevel::kWarning, "ownership_handed_over",
                      {{"epoch", core_.options.epoch},
                       {"silence_ms", inputs.silence.count()},
                       {"limit_ms", workload::OwnerHandOver::LimitOf(inputs).count()},
                       {"answered_before", inputs.has_answered ? 1 : 0},
                       {"workers", core_.workers.size()},
                       {"runs", runs},
                       {"unconfirmed_ms", inputs.unconfirmed.count()}});
    core_.metrics.Count(kHandOvers.name);
    on_hand_over_();
    Resign([this] { core_.LoseOwnership("handed over: no worker answers"); });
  }

  void UpdatePoolMetrics(workload::SteadyTime now) {
    std::size_t workers = 0;
    std::size_t runs = 0;
    std::int64_t accelerators = 0;
    for (const auto& [id, worker] : core_.workers) {
      runs += worker.runs.size();
      if (worker.TakesRuns(now)) {
        ++workers;
        accelerators += worker.Free().accelerators;
      }
    }
    core_.metrics.Set(kWorkers.name, static_cast<double>(workers));
    core_.metrics.Set(kRuns.name, static_cast<double>(runs));
    core_.metrics.Set(kFreeAccelerators.name, static_cast<double>(accelerators));
    UpdateSpeedMetrics();
  }

  void UpdateSpeedMetrics() {
    const auto& speeds = core_.speeds.speeds();
    const auto slow =
        std::count_if(speeds.begin(), speeds.end(), [](const auto& it) { return it.second < 1; });
    const auto known = static_cast<double>(speeds.size());
    const auto slower = static_cast<double>(slow);
    core_.metrics.Set(kUnlikeWorkers.name, slower, kUnlikeWorkers.label, "slow");
    core_.metrics.Set(kUnlikeWorkers.name, known - slower, kUnlikeWorkers.label, "fast");
  }

  void PollIdleWorkers(workload::SteadyTime now) {
    std::vector<std::string> idle;
    for (const auto& [id, worker] : core_.workers) {
      const WorkerLink& link = core_.links[id];
      const bool is_called = link.is_polling || link.HasUnrecordedEnds();
      if (worker.runs.empty() && !is_called && !worker.info.address.empty() &&
          now - link.answered_at > kIdlePollInterval) {
        idle.push_back(id);
      }
    }
    for (const std::string& it : idle) {
      poller_.RequestLists(it, true);
    }
  }

  void ExpireLeases(workload::SteadyTime now) {
    std::vector<std::string> expired;
    for (const auto& [id, worker] : core_.workers) {
      if (worker.runs.empty()) {
        continue;
      }
      if (const auto gone_at = core_.GoneAt(id)) {
        // An incarnation that had accepted a start without an answer is gone as well.
        core_.links[id].lease.ConfirmIncarnation(*gone_at);
      }
      if (now > lease_expiry_.EndOf(id)) {
        expired.push_back(id);
      }
    }
    for (const std::string& it : expired) {
      ends_.LoseRunsAfterLease(it);
    }
  }

  // The only place that removes workers: handlers of a worker's answers keep references to it.
  void RemoveUnlistedWorkers() {
    std::erase_if(core_.workers, [this](const auto& it) {
      const WorkerLink& link = core_.links[it.first];
      const bool is_gone = !it.second.is_listed && it.second.runs.empty() && !link.is_polling &&
                           link.pending_end_appends == 0;
      if (is_gone) {
        core_.speeds.Forget(it.first);
        core_.links.erase(it.first);
      }
      return is_gone;
    });
  }

  void StopCancelled() {
    for (const auto& [id, job] : core_.jobs.jobs()) {
      if (job.is_cancelled && stopped_jobs_.insert(id).second) {
        core_.advice.DropJob(id);
        stops_.StopRunsOf(id);
      }
    }
  }

  void RemoveExpiredJobs(workload::SteadyTime now) {
    for (const auto& [id, job] : core_.jobs.jobs()) {
      if (job.end || job.is_cancelled) {
        ended_since_.try_emplace(id, now);
      }
    }
    Records records;
    for (auto it = ended_since_.begin();
         it != ended_since_.end() && records.size() < kMaxRemovalRecords;) {
      if (now - it->second <= core_.options.retention + kRetentionMargin) {
        ++it;
        continue;
      }
      records.push_back(workload::SubmissionSet{it->first, std::nullopt});
      records.push_back(workload::CancellationSet{it->first, false});
      records.push_back(workload::JobEndSet{it->first, std::nullopt});
      stopped_jobs_.erase(it->first);
      it = ended_since_.erase(it);
    }
    if (!records.empty()) {
      core_.Append(records, [] {});
    }
  }

  OwnerCore<Platform, Port> core_;
  OrderContact<Platform, Port> order_contact_;
  RunStops<Platform, Port> stops_;
  RunStarts<Platform, Port> starts_;
  LateStarts<Platform, Port> late_starts_;
  LeaseExpiry<Platform, Port> lease_expiry_;
  RunHolds<Platform, Port> holds_;
  RunEnds<Platform, Port> ends_;
  FillPacing<Platform, Port> pacing_;
  LeaseWithholding<Platform, Port> withholding_;
  WorkerPoller<Platform, Port> poller_;
  TaskPlacement<Platform, Port> placement_;
  DrainMoves<Platform, Port> drain_moves_;
  TeamGauges<Platform, Port> team_gauges_;
  const workload::RecentStarts& recent_starts_;
  const std::function<void()> on_hand_over_;
  const std::function<bool()> has_peers_;
  const workload::SteadyTime took_over_at_;
  // Cancelled jobs whose runs have been ordered to stop.
  std::set<std::string> stopped_jobs_;
  // When this owner first saw each job as ended or cancelled.
  std::map<std::string, workload::SteadyTime> ended_since_;
};

}  // namespace clementineloom::entry
