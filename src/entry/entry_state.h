#pragma once

#include <chrono>
#include <cmath>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/recent_starts.h"
#include "entry/caller/caller_front.h"
#include "entry/caller/peer_router.h"
#include "entry/caller/submission_limits.h"
#include "entry/election/owner_options_of.h"
#include "entry/election/ownership.h"
#include "entry/election/ownership_claims.h"
#include "entry/entry_hooks.h"
#include "entry/jobs/decode_job_record.h"
#include "entry/jobs/instance_announcement.h"
#include "entry/jobs/last_job_events.h"
#include "entry/jobs/record_author.h"
#include "entry/jobs/removed_jobs.h"
#include "entry/metric_specs.h"
#include "entry/operator/operator_directory.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"
#include "entry/store/appender.h"
#include "entry/store/read_options.h"
#include "entry/store/topic_follower.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"
#include "settings/entry_settings.h"

namespace clementineloom::entry {

/// @brief The state and the decisions of an entry instance: follows the store's topics, answers
/// callers, takes part in the owner election and owns the workers while it is elected.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class EntryState {
 public:
  using Hooks = EntryHooks;

  /// Precondition: the references outlive the state, and the state outlives the port's calls and
  /// timers.
  /// @param seed unique to each process, also across restarts of an instance
  EntryState(Port& port, settings::EntrySettings settings, Hooks hooks,
             metrics::MetricRegistry& metrics, std::uint32_t seed)
      : port_(port),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        metrics_(metrics),
        jobs_topic_{settings_.store, Platform::kJobsTopic},
        claims_(port, jobs_topic_, settings_.instance, Millicores(), seed),
        operator_directory_(port, {settings_.store, Platform::kOperatorTopic}, operators_,
                            [this](bool has_changed) { OnOperatorsRead(has_changed); }),
        jobs_follower_(
            port, jobs_topic_, {},
            {[this](const auto& items) { OnJobsReload(items); },
             [this](const auto& items) { OnJobBatch(items); }, [this] { OnJobsReadFailed(); }}),
        appender_(port, jobs_topic_, CallerAppendOptions(seed)),
        announcement_(port, appender_, {settings_.instance, settings_.listen, Millicores()}),
        peers_(port, settings_.instance),
        ownership_(port, jobs_topic_, jobs_, recent_starts_, job_events_, operators_, metrics),
        limits_(operators_, ownership_),
        front_(port, jobs_, operators_, appender_, peers_, metrics,
               {hooks_.answer, [this] { ownership_.OnJobsChanged(); },
                [this] { return jobs_follower_.last_read_at(); },
                [this] { return JobsKnownUntil(); }, [this] { return has_store_; },
                [this](const auto& submission) { return limits_.Check(submission); },
                [this] { return claims_.OtherOwner(); }, [this] { return DetailsOfView(); },
                [this](const std::string& job) { return removed_jobs_.Find(job); }}) {}

  /// @brief Starts following the store. Call once.
  void Start() {
    operator_directory_.Start();
    jobs_follower_.Start();
    CheckElection();
  }

  /// @brief Serves a request of a caller or of a peer; the answer hook gets its answer once,
  /// possibly later. Precondition: no unanswered request has the same id.
  void OnRequest(const net::ServerRequest& request) { front_.Handle(request); }

  /// @brief Resigns ownership, if it is held, and stops claiming it. Call once.
  /// @param answer_within time after which requests that still wait are answered without their
  /// outcome, and further ones are refused
  void OnStop(workload::Milliseconds answer_within) {
    is_stopping_ = true;
    port_.After(answer_within, [this] { front_.Close(); });
    UpdateReady();
    ownership_.Resign();
  }

  /// @brief Whether this instance owns the workers.
  [[nodiscard]] bool is_owner() const { return ownership_.is_held(); }

 private:
  static constexpr workload::Milliseconds kElectionCheckInterval{100};
  // Shorter than the retention of ended jobs: a late append of a submission that another instance
  // recorded too must not start the job again after it was dropped.
  static constexpr workload::Milliseconds kCallerAppendTimeout{20'000};

  std::int64_t Millicores() const {
    constexpr double kMillicoresPerCore = 1'000;
    return std::llround(settings_.processor_share * kMillicoresPerCore);
  }

  AppenderOptions CallerAppendOptions(std::uint32_t seed) const {
    AppenderOptions options;
    options.producer = settings_.instance + "-" + std::to_string(seed);
    options.epoch = 1;
    options.give_up_after = kCallerAppendTimeout;
    return options;
  }

  // Nothing is placed or started while the view is stale.
  void OnOperatorsRead(bool has_changed) {
    UpdateReady();
    if (has_changed) {
      ownership_.OnOperatorsChanged();
    }
  }

  // --- Jobs topic.

  void OnJobsReload(const std::vector<TopicItem>& items) {
    // The table of an owner is ahead of the store and must not be reset to it.
    std::vector<std::string> former;
    if (!is_owner()) {
      former = KnownJobs();
      jobs_.Clear();
      lease_ends_.Clear();
      job_events_.Clear();
    }
    OnJobItems(items, false);
    announcement_.Begin();
    logging::LogEvent(logging::LogLevel::kInfo, "jobs_loaded",
                      {{"records", items.size()},
                       {"jobs", jobs_.jobs().size()},
                       {"jobs_before", former.size()},
                       {"jobs_missing", NoteMissingJobs(former)},
                       {"is_owner", is_owner() ? 1 : 0}});
  }

  [[nodiscard]] bool Knows(const std::string& job) const {
    const workload::JobEntry* entry = jobs_.Find(job);
    return entry != nullptr && entry->submission;
  }

  [[nodiscard]] std::vector<std::string> KnownJobs() const {
    std::vector<std::string> known;
    for (const auto& [id, job] : jobs_.jobs()) {
      if (job.submission) {
        known.push_back(id);
      }
    }
    return known;
  }

  // Notes the jobs that a load has removed from the table, and returns their number.
  std::size_t NoteMissingJobs(const std::vector<std::string>& former) {
    std::size_t missing = 0;
    for (const std::string& it : former) {
      if (!Knows(it)) {
        removed_jobs_.Note(it, {"reload", port_.Now()});
        ++missing;
      }
    }
    return missing;
  }

  void OnJobBatch(const std::vector<TopicItem>& items) {
    OnJobItems(items, true);
    if (!is_owner() && !is_stopping_ && claims_.IsWon(jobs_follower_.next_offset())) {
      BecomeOwner();
    }
  }

  // @param is_new whether the records were read as they were stored, not loaded
  void OnJobItems(const std::vector<TopicItem>& items, bool is_new) {
    // A read that ends before the claim of a new owner does not show that the last one is silent.
    if (jobs_follower_.is_reading()) {
      claims_.election().OnRead(port_.Now());
    }
    bool has_job_changes = false;
    removed_in_batch_ = 0;
    for (const TopicItem& it : items) {
      has_job_changes = ApplyRecord(it, is_new) || has_job_changes;
    }
    if (removed_in_batch_ > 0) {
      logging::LogEvent(
          logging::LogLevel::kInfo, "jobs_removed",
          {{"jobs", removed_in_batch_}, {"next_offset", jobs_follower_.next_offset()}});
    }
    UpdateReady();
    if (has_job_changes) {
      ownership_.OnJobsChanged();
    }
  }

  // Returns whether the record is one that callers cause.
  bool ApplyRecord(const TopicItem& item, bool is_new) {
    const auto record = DecodeJobRecord(item.item);
    if (!record) {
      return false;
    }
    if (const auto* instance = std::get_if<workload::InstanceSet>(&*record)) {
      ApplyInstance(instance->instance);
    } else if (const auto* owner = std::get_if<workload::OwnerSet>(&*record)) {
      ApplyOwner(owner->owner, item.offset);
    } else {
      ApplyJobRecord(*record, item.offset);
    }
    job_events_.OnRecord(*record, port_.Now(), claims_.newest_epoch(), !is_new);
    if (const auto* task = std::get_if<workload::TaskSet>(&*record); task != nullptr && is_new) {
      recent_starts_.OnRecord(*task, port_.Now());
    }
    return IsCallerRecord(*record);
  }

  void ApplyInstance(const workload::InstanceRecord& instance) {
    peers_.Add(instance);
    claims_.election().OnInstance(instance);
    if (!is_owner()) {
      jobs_follower_.set_options(SharedReadOptions(peers_.size()));
    }
  }

  void ApplyOwner(const workload::OwnerRecord& owner, std::uint64_t offset) {
    const bool is_newest = claims_.OnOwnerRecord(owner, offset);
    if (is_newest && owner.phase == workload::OwnerPhase::kResigned) {
      // Nobody places tasks until the next claim, which must not wait for the periodic check.
      port_.After(claims_.TimeToEarliestClaim(), [this] { ClaimIfAllowed(); });
    }
    if (is_owner() && claims_.IsSupersededBy(owner)) {
      OnOwnershipLost();
    }
  }

  void ApplyJobRecord(const workload::WorkloadRecord& record, std::uint64_t offset) {
    claims_.OnOtherRecord(record, offset);
    NoteRemoval(record);
    const auto* lease_end = std::get_if<workload::LeaseEndSet>(&record);
    if (lease_end != nullptr && !is_owner()) {
      lease_ends_.Apply(*lease_end, port_.Now());
    }
    // An owner that has dropped a job from its table may load its submission again, and must then
    // know that the job has ended.
    const auto* end = std::get_if<workload::JobEndSet>(&record);
    const bool is_end_of_unknown = end != nullptr && jobs_.Find(end->job) == nullptr;
    if (!is_owner() || IsCallerRecord(record) || is_end_of_unknown) {
      jobs_.Apply(record);
    }
  }

  void NoteRemoval(const workload::WorkloadRecord& record) {
    const auto* submission = std::get_if<workload::SubmissionSet>(&record);
    if (submission != nullptr && !submission->submission) {
      removed_jobs_.Note(submission->job, {"record", port_.Now()});
      ++removed_in_batch_;
    }
  }

  ViewDetails DetailsOfView() const {
    return {jobs_follower_.next_offset(), is_owner(), !jobs_follower_.is_reading()};
  }

  std::optional<workload::SteadyTime> JobsKnownUntil() const {
    if (!jobs_follower_.last_read_at()) {
      return std::nullopt;
    }
    return jobs_follower_.complete_until();
  }

  void OnJobsReadFailed() {
    claims_.election().OnReadFailed();
    UpdateReady();
  }

  // Without the store no request can be accepted: the load balancer should route to another
  // instance.
  void UpdateReady() {
    has_store_ = jobs_follower_.is_healthy() && !appender_.is_failing();
    hooks_.set_ready(!is_stopping_ && operators_.config() && has_store_);
  }

  // --- Ownership.

  void CheckElection() {
    UpdateReady();
    UpdateMetrics();
    ClaimIfAllowed();
    port_.After(kElectionCheckInterval, [this] { CheckElection(); });
  }

  void ClaimIfAllowed() {
    if (!is_owner() && !is_stopping_ && jobs_follower_.is_reading()) {
      claims_.ClaimIfAllowed(jobs_follower_.next_offset());
    }
  }

  void UpdateMetrics() {
    metrics_.Set(kIsOwner.name, is_owner() ? 1 : 0);
    metrics_.Set(kOwnerEpoch.name, static_cast<double>(claims_.newest_epoch()));
    if (const auto read_at = jobs_follower_.last_read_at()) {
      metrics_.Set(kViewAgeSeconds.name,
                   std::chrono::duration<double>(port_.Now() - *read_at).count());
    }
    if (operators_.config()) {
      metrics_.Set(kConfigVersion.name, static_cast<double>(operators_.config()->version));
    }
  }

  // Precondition: all records up to the claim have been read.
  void BecomeOwner() {
    logging::LogEvent(logging::LogLevel::kInfo, "ownership_taken",
                      {{"epoch", claims_.epoch()}, {"next_offset", jobs_follower_.next_offset()}});
    jobs_follower_.set_options(PromptReadOptions());
    OwnerOptions options =
        OwnerOptionsOf(settings_, claims_.epoch(), claims_.election().handed_over_at());
    options.lease_ends = lease_ends_;
    ownership_.Take(options, {[this] { OnOwnershipLost(); },
                              [this] { claims_.election().OnHandOver(port_.Now()); },
                              [this] { return peers_.size() > 0; }});
  }

  void OnOwnershipLost() {
    claims_.Forget();
    // The table may contain changes that were never stored.
    jobs_follower_.set_options(SharedReadOptions(peers_.size()));
    jobs_follower_.Reload();
    ownership_.Release();
  }

  Port& port_;
  const settings::EntrySettings settings_;
  const Hooks hooks_;
  metrics::MetricRegistry& metrics_;
  const StoreEndpoint jobs_topic_;
  workload::JobTable jobs_;
  RemovedJobs removed_jobs_;
  std::size_t removed_in_batch_ = 0;
  // Those that the store held when this instance became the owner, if it is.
  workload::LeaseEnds lease_ends_;
  workload::RecentStarts recent_starts_;
  LastJobEvents job_events_;
  OperatorView operators_;
  OwnershipClaims<Platform, Port> claims_;
  OperatorDirectory<Platform, Port> operator_directory_;
  TopicFollower<Platform, Port> jobs_follower_;
  Appender<Platform, Port> appender_;
  InstanceAnnouncement<Platform, Port> announcement_;
  PeerRouter<Port> peers_;
  Ownership<Platform, Port> ownership_;
  const SubmissionLimits<Platform, Port> limits_;
  CallerFront<Platform, Port> front_;
  bool has_store_ = false;
  bool is_stopping_ = false;
};

}  // namespace clementineloom::entry
