#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "clementineloom/workload/advice_cache.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/speed_model.h"
#include "clementineloom/workload/team_quota.h"
#include "clementineloom/workload/worker_pool.h"
#include "clementineloom/workload/worker_silence.h"
#include "entry/metric_specs.h"
#include "entry/operator/operator_view.h"
#include "entry/owner/owner_options.h"
#include "entry/owner/owner_timing.h"
#include "entry/owner/record_group.h"
#include "entry/owner/suspension_watch.h"
#include "entry/owner/worker_link.h"
#include "entry/port/call_port.h"
#include "entry/port/lifetime_guard.h"
#include "entry/store/appender.h"
#include "entry/worker/order_answer.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"

namespace clementineloom::entry {

/// @brief State that the components of an owner share: workers, jobs, and the recording of changes.
///
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class OwnerCore {
 public:
  using Records = std::vector<workload::WorkloadRecord>;

  /// @param on_lost runs once, when ownership is lost
  OwnerCore(Port& call_port, workload::JobTable& table, const OperatorView& view,
            metrics::MetricRegistry& registry, std::unique_ptr<Appender<Platform, Port>> appender,
            OwnerOptions owner_options, std::function<void()> on_lost)
      : port(call_port),
        jobs(table),
        operators(view),
        metrics(registry),
        options(std::move(owner_options)),
        lease_ends(options.lease_ends),
        confirmed_at(call_port.Now()),
        suspension(call_port.Now()),
        configured_at(call_port.Now()),
        appender_(std::move(appender)),
        on_lost_(std::move(on_lost)) {}

  /// @brief Number of appends whose outcome is not known yet.
  [[nodiscard]] std::size_t backlog() const { return appender_->backlog(); }

  /// @brief Wraps an action that must not run after this object is destroyed or ownership is lost.
  template <class Action>
  auto Guard(Action action) {
    return lifetime_.Wrap([this, action = std::move(action)](auto&&... args) {
      if (!is_lost) {
        action(std::forward<decltype(args)>(args)...);
      }
    });
  }

  /// @brief Ends the ownership. Decisions that the store has not appended are void.
  void LoseOwnership(std::string_view reason) {
    if (is_lost) {
      return;
    }
    is_lost = true;
    logging::LogEvent(logging::LogLevel::kWarning, "ownership_lost",
                      {{"epoch", options.epoch}, {"reason", reason}});
    on_lost_();
  }

  /// @brief Applies records to the job table immediately and calls back once they are stored. The
  /// end of a job is not shown to callers before it is stored.
  void Append(const Records& records, std::function<void()> stored) {
    for (const workload::WorkloadRecord& it : records) {
      jobs.Apply(it);
    }
    AppendApplied(records, std::move(stored));
  }

  /// @brief Like Append, for records that have already been applied.
  void AppendApplied(const Records& records, std::function<void()> stored) {
    std::vector<RecordGroup> groups = GroupRecords(records, jobs);
    // The groups are stored in order, so that the last one stands for all.
    RecordGroup last = std::move(groups.back());
    groups.pop_back();
    for (RecordGroup& it : groups) {
      AppendGroup(std::move(it), [] {});
    }
    AppendGroup(std::move(last), std::move(stored));
  }

  /// @brief The run if it holds capacity on the worker, or null.
  [[nodiscard]] workload::PlacedRun* FindRun(const std::string& worker,
                                             const workload::TaskRun& run) {
    const auto it = workers.find(worker);
    if (it == workers.end()) {
      return nullptr;
    }
    const auto placed = it->second.runs.find(run);
    return placed == it->second.runs.end() ? nullptr : &placed->second;
  }

  /// @brief Whether the views of the operators' items and of the workers' entries are current, and
  /// ownership was confirmed since the process was last suspended. Without that, nothing is placed
  /// or started.
  [[nodiscard]] bool HasCurrentView() const {
    const workload::SteadyTime now = port.Now();
    return operators.IsCurrent(now) && KnowsWorkers(now) &&
           suspension.IsConfirmedSince(confirmed_at, now);
  }

  /// @brief Whether a task may be ordered to start on a worker: it is in service, its data centre
  /// is not evacuated, and it has what the task requires, as far as this owner knows now. A worker
  /// that has restarted may be of another kind.
  [[nodiscard]] bool MayStartOn(const std::string& worker, const workload::TaskId& task) const {
    const auto it = workers.find(worker);
    const workload::JobEntry* job = jobs.Find(task.step.job);
    return it != workers.end() && it->second.IsInService() && !IsEvacuated(it->second) &&
           job != nullptr && job->FindStep(task.step.step) != nullptr &&
           job->MayRunOn(it->second.info, task.step.step);
  }

  /// @brief Whether the runs of a task's team hold more than the team's quota, as they may once the
  /// quota has fallen. Complexity: O(runs) where a team has limits.
  [[nodiscard]] bool IsOverQuota(const workload::TaskId& task) const {
    const workload::JobEntry* job = jobs.Find(task.step.job);
    const auto& config = operators.config();
    return job != nullptr && job->submission && config &&
           workload::IsOverQuota(jobs, workers, config->teams, job->submission->team);
  }

  /// @brief Whether a worker's data centre is evacuated.
  [[nodiscard]] bool IsEvacuated(const workload::PoolWorker& worker) const {
    return operators.evacuated().contains(worker.info.data_centre);
  }

  /// @brief Whether a run is still the one that its task's record has placed for an open job. A
  /// task that is done, for a gang also by the end of another member, has none, and its runs may
  /// not be ordered any more.
  [[nodiscard]] bool IsRecordedRun(const std::string& worker, const workload::TaskRun& run) const {
    const workload::JobEntry* job = jobs.Find(run.task.step.job);
    return job != nullptr && job->IsOpen() && job->Task(run.task).IsPlacedAs(run.run, worker);
  }

  /// @brief The step of a run that is running for an open job, so that it may be stopped early;
  /// null for any other run.
  [[nodiscard]] const workload::StepSpec* OpenStepOf(const workload::PlacedRun& run) const {
    const workload::JobEntry* job = jobs.Find(run.run.task.step.job);
    const bool is_working =
        run.stage == workload::RunStage::kRunning && job != nullptr && job->IsOpen();
    return is_working ? jobs.FindStep(run.run.task.step) : nullptr;
  }

  /// @brief Sends an order to a worker and records the worker's clock from the answer. An answer
  /// that reveals a higher epoch ends the ownership; every other answer is passed to the handler.
  /// If the worker's restart became known meanwhile, the outcome is unknown: the new incarnation
  /// knows nothing of what an earlier one answered.
  template <class Handler>
  void Order(const std::string& worker, net::HttpRequest request, Handler handler) {
    port.Call(
        workers[worker].info.address, std::move(request), OwnerTiming::kOrderTimeout,
        Guard([this, worker, restarts = links[worker].restarts, sent_at = port.Now(),
               handler = std::move(handler)](const net::ClientResult& result) {
          const OrderAnswer answer = Platform::ParseOrder(result);
          NotePresence(worker, result, sent_at);
          if (result.response) {
            silence.OnAnswer(port.Now());
          }
          if (answer.status == OrderStatus::kFenced) {
            LoseOwnershipToHigherEpoch();
          } else if (answer.status != OrderStatus::kUnreachable && HasRestarted(worker, restarts)) {
            handler(OrderAnswer{});
          } else {
            NoteClock(worker, answer, sent_at);
            handler(answer);
          }
        }));
  }

  /// @brief Notes what the result of a call shows of whether the worker's process is there.
  void NotePresence(const std::string& worker, const net::ClientResult& result,
                    workload::SteadyTime sent_at) {
    const auto link = links.find(worker);
    if (link == links.end()) {
      return;
    }
    WorkerPresence& presence = link->second.presence;
    const bool had_ended = presence.HasEnded();
    presence.OnResult(result, sent_at, port.Now());
    if (presence.HasEnded() && !had_ended) {
      LogEndOfProcess(workers.at(worker), result);
    }
  }

  /// @brief When a worker was last known to be gone: its entry is removed, and no process serves
  /// its address. Nothing if it is not, or if the view of the entries is not current, so that it
  /// may have entered itself again.
  [[nodiscard]] std::optional<workload::SteadyTime> GoneAt(const std::string& worker) const {
    const auto link = links.find(worker);
    const bool is_unlisted = !workers.at(worker).is_listed && HasCurrentView();
    return is_unlisted && link != links.end() ? link->second.presence.absent_at() : std::nullopt;
  }

  /// @brief Ends the ownership because a worker has accepted a newer owner.
  void LoseOwnershipToHigherEpoch() { LoseOwnership("a worker has seen a higher epoch"); }

  /// @brief Whether the lease of a worker may be extended: no record says that it is not.
  [[nodiscard]] bool MayExtendLease(const std::string& worker) const {
    return !lease_ends.Contains(worker);
  }

  /// @brief Places no new runs on a worker for the given time.
  void BackOff(const std::string& worker, workload::Milliseconds time) {
    workload::PoolWorker& it = workers[worker];
    it.usable_from = std::max(it.usable_from, port.Now() + time);
  }

  Port& port;
  workload::JobTable& jobs;
  const OperatorView& operators;
  metrics::MetricRegistry& metrics;
  const OwnerOptions options;
  workload::WorkerPool workers;
  /// Time up to which all entries of workers are known; empty before the first read.
  std::optional<workload::SteadyTime> workers_known_until;
  std::map<std::string, WorkerLink> links;
  workload::WorkerSilence silence;
  workload::AdviceCache advice;
  /// The speeds of workers, as this owner has seen them.
  workload::SpeedModel speeds;
  /// Workers whose leases may not be extended, because their end is recorded.
  workload::LeaseEnds lease_ends;
  /// Latest time at which the epoch is known to have been the newest at the store.
  workload::SteadyTime confirmed_at;
  SuspensionWatch suspension;
  /// When this owner has last read a change of the configuration, or took over.
  workload::SteadyTime configured_at;
  /// Polls a worker for its lists, and schedules a plan. Set by the owner before anything runs.
  std::function<void(const std::string&)> poll_worker;
  std::function<void()> schedule_plan;
  /// Whether ownership is being given up; no further runs are placed.
  bool is_resigning = false;
  bool is_lost = false;

 private:
  void AppendGroup(RecordGroup group, std::function<void()> stored) {
    for (const std::string& it : group.ended_jobs) {
      jobs.NoteEndStored(it, false);
    }
    appender_->Append(std::move(group.items), Guard([this, ended_jobs = std::move(group.ended_jobs),
                                                     stored = std::move(stored),
                                                     decided_at = port.Now()](AppendStatus status) {
                        if (status != AppendStatus::kAppended) {
                          LoseOwnership("the store refused the epoch");
                          return;
                        }
                        metrics.Observe(kAppendSeconds.name, port.Now() - decided_at);
                        confirmed_at = std::max(confirmed_at, appender_->confirmed_at());
                        for (const std::string& it : ended_jobs) {
                          jobs.NoteEndStored(it, true);
                        }
                        stored();
                      }));
  }

  // Longer than two long polls of the store, and at most the time for which a worker that drains
  // takes runs: an older view may lack a drain.
  static constexpr workload::Milliseconds kMaxWorkersAge{2'000};

  [[nodiscard]] bool KnowsWorkers(workload::SteadyTime now) const {
    return workers_known_until && now - *workers_known_until <= kMaxWorkersAge;
  }

  static void LogEndOfProcess(const workload::PoolWorker& worker, const net::ClientResult& result) {
    const bool is_refused = result.connection_failure == net::ConnectionFailure::kRefused;
    logging::LogEvent(logging::LogLevel::kInfo, "worker_process_ended",
                      {{"worker", worker.info.id},
                       {"sign", is_refused ? "refused" : "closed"},
                       {"listed", worker.is_listed ? 1 : 0},
                       {"draining", worker.info.is_draining ? 1 : 0},
                       {"runs", worker.runs.size()}});
  }

  // @param restarts number of known restarts of the worker at an earlier time
  [[nodiscard]] bool HasRestarted(const std::string& worker, std::uint32_t restarts) const {
    const auto link = links.find(worker);
    return link != links.end() && link->second.restarts != restarts;
  }

  void NoteClock(const std::string& worker, const OrderAnswer& answer,
                 workload::SteadyTime sent_at) {
    const auto link = links.find(worker);
    if (link == links.end() || !answer.clock_ms) {
      return;
    }
    workload::WorkerLease& lease = link->second.lease;
    if (lease.IsBehind(*answer.clock_ms, sent_at)) {
      // A new incarnation of the worker may have accepted the order, with a lease that was
      // computed for the clock of the earlier one.
      lease.BeginIncarnation(options.max_lease, port.Now());
    }
    lease.OnClock(*answer.clock_ms, port.Now());
  }

  std::unique_ptr<Appender<Platform, Port>> appender_;
  const std::function<void()> on_lost_;
  LifetimeGuard lifetime_;
};

}  // namespace clementineloom::entry
