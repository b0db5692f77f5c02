#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/rate_refusal.h"
#include "clementineloom/workload/recent_starts.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_info.h"
#include "entry/election/owner_producer.h"
#include "entry/jobs/last_job_events.h"
#include "entry/metric_specs.h"
#include "entry/operator/operator_view.h"
#include "entry/owner/named_services.h"
#include "entry/owner/owner.h"
#include "entry/owner/owner_hooks.h"
#include "entry/owner/owner_options.h"
#include "entry/owner/worker_directory.h"
#include "entry/port/call_port.h"
#include "entry/store/appender.h"
#include "entry/store/store_endpoint.h"
#include "metrics/metric_registry.h"

namespace clementineloom::entry {

/// @brief Holds the owner and the directory of its workers while this instance owns the workers.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class Ownership {
 public:
  /// Precondition: the references outlive the ownership, and the ownership outlives the port's
  /// timers.
  /// @param jobs_topic to which the owner appends
  /// @param recent_starts read by this instance while another one owned the workers
  /// @param job_events read by this instance until now
  Ownership(Port& port, StoreEndpoint jobs_topic, workload::JobTable& jobs,
            const workload::RecentStarts& recent_starts, const LastJobEvents& job_events,
            const OperatorView& operators, metrics::MetricRegistry& metrics)
      : port_(port),
        jobs_topic_(std::move(jobs_topic)),
        jobs_(jobs),
        recent_starts_(recent_starts),
        job_events_(job_events),
        operators_(operators),
        metrics_(metrics) {}

  /// @brief Whether this instance owns the workers.
  [[nodiscard]] bool is_held() const { return owner_ != nullptr; }

  /// @brief Makes this instance the owner.
  /// Precondition: it is not the owner, and all records up to its claim have been read.
  void Take(const OwnerOptions& options, OwnerHooks hooks) {
    metrics_.Count(kTakeovers.name);
    owner_ = std::make_unique<Owner<Platform, Port>>(
        port_, jobs_, recent_starts_, job_events_, operators_, metrics_,
        std::make_unique<Appender<Platform, Port>>(port_, jobs_topic_,
                                                   AppendOptions(options.epoch)),
        options, std::move(hooks));
    directory_ = std::make_unique<WorkerDirectory<Platform, Port>>(
        port_, StoreEndpoint{jobs_topic_.address, Platform::kWorkerTopic},
        NamedServices::Of(operators_, jobs_), WorkerSink());
    owner_->Start();
    directory_->Start();
  }

  /// @brief Hands the ownership over, if it is held, and releases it.
  void Resign() {
    if (is_held()) {
      owner_->Resign([this] { Release(); });
    }
  }

  /// @brief Drops the owner, if there is one. Deferred, since it may be on the call stack.
  void Release() {
    port_.After(workload::Milliseconds(0), [this] {
      directory_.reset();
      owner_.reset();
    });
  }

  /// @brief The refusal of a submission beyond its team's rate; nothing from an instance that does
  /// not own the workers.
  [[nodiscard]] std::optional<workload::RateRefusal> RateRefusalOf(
      const workload::JobSubmission& submission, const workload::TeamAccess& team) const {
    return is_held() ? owner_->RateRefusalOf(submission, team) : std::nullopt;
  }

  /// @brief Tells the owner, if there is one, that submissions or cancellations were applied.
  void OnJobsChanged() {
    if (is_held()) {
      owner_->OnJobsChanged();
    }
  }

  /// @brief Tells the owner, if there is one, that the operator view changed or became current.
  void OnOperatorsChanged() {
    if (is_held()) {
      directory_->OnServicesChanged();
      owner_->OnOperatorsChanged();
    }
  }

 private:
  static AppenderOptions AppendOptions(std::uint64_t epoch) {
    AppenderOptions options;
    options.producer = kOwnerProducer;
    options.epoch = epoch;
    options.first_sequence = 1;
    options.retries_refused = true;
    return options;
  }

  typename WorkerDirectory<Platform, Port>::Sink WorkerSink() {
    return {[this](const workload::WorkerInfo& it) { owner_->OnWorker(it); },
            [this](const std::string& id) { owner_->OnWorkerGone(id); },
            [this](workload::SteadyTime until) { owner_->OnWorkersRead(until); }};
  }

  Port& port_;
  const StoreEndpoint jobs_topic_;
  workload::JobTable& jobs_;
  const workload::RecentStarts& recent_starts_;
  const LastJobEvents& job_events_;
  const OperatorView& operators_;
  metrics::MetricRegistry& metrics_;
  std::unique_ptr<Owner<Platform, Port>> owner_;
  std::unique_ptr<WorkerDirectory<Platform, Port>> directory_;
};

}  // namespace clementineloom::entry
