#pragma once

#include <algorithm>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/workload/advice_cache.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/worker_pool.h"
#include "codec/workload_record_codec.h"
#include "entry/metric_specs.h"
#include "entry/operator/operator_view.h"
#include "entry/owner/owner_options.h"
#include "entry/owner/owner_timing.h"
#include "entry/owner/worker_link.h"
#include "entry/port/call_port.h"
#include "entry/port/life_guard.h"
#include "entry/store/appender.h"
#include "entry/worker/order_answer.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"

namespace clementineloom::entry {

/// @brief What the parts of an owner share: the workers, the jobs, and the way to record changes.
///
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class OwnerCore {
 public:
  using Records = std::vector<workload::WorkloadRecord>;

  /// @param lost runs once when ownership is lost
  OwnerCore(Port& it, workload::JobTable& table, const OperatorView& view,
            metrics::MetricRegistry& registry, std::unique_ptr<Appender<Platform, Port>> records,
            OwnerOptions bounds, std::function<void()> lost)
      : port(it),
        jobs(table),
        operators(view),
        metrics(registry),
        options(std::move(bounds)),
        confirmed_at(it.Now()),
        appender_(std::move(records)),
        on_lost_(std::move(lost)) {}

  /// @brief Appends whose outcome is not known yet.
  [[nodiscard]] std::size_t backlog() const { return appender_->backlog(); }

  /// @brief Wraps an action that must not run once the owner is gone or lost.
  template <class Action>
  auto Guard(Action action) {
    return life_.Wrap([this, action = std::move(action)](auto&&... args) {
      if (!is_lost) {
        action(std::forward<decltype(args)>(args)...);
      }
    });
  }

  /// @brief Ends the ownership; what it decided and the store did not take is void.
  void Lose(std::string_view reason) {
    if (is_lost) {
      return;
    }
    is_lost = true;
    logging::LogEvent(logging::LogLevel::kWarning, "ownership_lost",
                      {{"epoch", options.epoch}, {"reason", reason}});
    on_lost_();
  }

  /// @brief Applies records at once and calls back when they are stored. Callers are not shown
  /// the end of a job before that.
  void Append(const Records& records, std::function<void()> stored) {
    for (const workload::WorkloadRecord& it : records) {
      jobs.Apply(it);
    }
    AppendApplied(records, std::move(stored));
  }

  /// @brief The same for records that were applied already.
  void AppendApplied(const Records& records, std::function<void()> stored) {
    std::vector<workload::KeyedValue> items;
    std::vector<std::string> ended_jobs;
    for (const workload::WorkloadRecord& it : records) {
      items.push_back(codec::EncodeWorkloadRecord(it));
      const auto* end = std::get_if<workload::JobEndSet>(&it);
      if (end != nullptr && end->state) {
        jobs.NoteEndStored(end->job, false);
        ended_jobs.push_back(end->job);
      }
    }
    appender_->Append(std::move(items),
                      Guard([this, ended_jobs = std::move(ended_jobs), stored = std::move(stored),
                             decided_at = port.Now()](AppendStatus status) {
                        if (status != AppendStatus::kAppended) {
                          Lose("the store refused the epoch");
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

  /// @brief A run that holds room on a worker, or null.
  [[nodiscard]] workload::PlacedRun* FindRun(const std::string& worker,
                                             const workload::TaskRun& run) {
    const auto it = workers.find(worker);
    if (it == workers.end()) {
      return nullptr;
    }
    const auto placed = it->second.runs.find(run);
    return placed == it->second.runs.end() ? nullptr : &placed->second;
  }

  /// @brief Whether what operators wrote is known up to now; without it nothing may start.
  [[nodiscard]] bool HasCurrentView() const { return operators.IsCurrent(port.Now()); }

  /// @brief Whether a start may be ordered on a worker, by what is known now.
  [[nodiscard]] bool MayStartOn(const std::string& worker) const {
    const auto it = workers.find(worker);
    return it != workers.end() && it->second.IsInService() &&
           !operators.evacuated().contains(it->second.info.data_centre);
  }

  /// @brief The step of a run that works for an open job, or null: such a run may be stopped early.
  [[nodiscard]] const workload::StepSpec* OpenStepOf(const workload::PlacedRun& run) const {
    const workload::JobEntry* job = jobs.Find(run.run.task.step.job);
    const bool is_working =
        run.stage == workload::RunStage::kRunning && job != nullptr && job->IsOpen();
    return is_working ? jobs.FindStep(run.run.task.step) : nullptr;
  }

  /// @brief Sends an order to a worker and takes note of the clock in its answer. A worker that has
  /// seen a higher epoch ends the ownership; every other answer reaches the handler.
  template <class Handler>
  void Order(const std::string& worker, net::HttpRequest request, Handler handler) {
    port.Call(workers[worker].info.address, std::move(request), OwnerTiming::kOrderTimeout,
              Guard([this, worker, handler = std::move(handler)](const net::ClientResult& result) {
                const OrderAnswer answer = Platform::ParseOrder(result);
                NoteClock(worker, answer);
                if (answer.status == OrderStatus::kFenced) {
                  LoseToHigherEpoch();
                } else {
                  handler(answer);
                }
              }));
  }

  /// @brief Ends the ownership because a worker follows a newer owner.
  void LoseToHigherEpoch() { Lose("a worker has seen a higher epoch"); }

  /// @brief Places no new runs on a worker for a while.
  void Rest(const std::string& worker, workload::Milliseconds time) {
    workload::PoolWorker& it = workers[worker];
    it.usable_from = std::max(it.usable_from, port.Now() + time);
  }

  Port& port;
  workload::JobTable& jobs;
  const OperatorView& operators;
  metrics::MetricRegistry& metrics;
  const OwnerOptions options;
  workload::WorkerPool workers;
  std::map<std::string, WorkerLink> links;
  workload::AdviceCache advice;
  /// Up to when the epoch is known to have been the newest at the store.
  workload::SteadyTime confirmed_at;
  /// Asks a worker for its lists, and makes a plan; set by the owner before anything runs.
  std::function<void(const std::string&)> call_worker;
  std::function<void()> plan_soon;
  /// Nothing more is placed.
  bool is_resigning = false;
  bool is_lost = false;

 private:
  void NoteClock(const std::string& worker, const OrderAnswer& answer) {
    const auto link = links.find(worker);
    if (link == links.end() || !answer.clock_ms) {
      return;
    }
    workload::WorkerLease& lease = link->second.lease;
    if (lease.IsBehind(*answer.clock_ms)) {
      // A new life may have taken the order, with a lease on the former life's clock.
      lease.BeginIncarnation(options.max_lease, port.Now());
    }
    lease.OnClock(*answer.clock_ms, port.Now());
  }

  std::unique_ptr<Appender<Platform, Port>> appender_;
  const std::function<void()> on_lost_;
  LifeGuard life_;
};

}  // namespace clementineloom::entry
