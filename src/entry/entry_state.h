#pragma once

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/owner_election.h"
#include "clementineloom/workload/recent_starts.h"
#include "codec/workload_record_codec.h"
#include "entry/caller/caller_front.h"
#include "entry/metric_specs.h"
#include "entry/operator/operator_item.h"
#include "entry/operator/operator_view.h"
#include "entry/owner/owner.h"
#include "entry/owner/worker_directory.h"
#include "entry/port/call_port.h"
#include "entry/port/lifetime_guard.h"
#include "entry/store/appender.h"
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
  struct Hooks {
    std::function<void(net::ExchangeId, net::HttpResponse)> answer;
    std::function<void(bool)> set_ready;
  };

  /// @param seed unique to each process, also across restarts of an instance
  EntryState(Port& port, settings::EntrySettings settings, Hooks hooks,
             metrics::MetricRegistry& metrics, std::uint32_t seed)
      : port_(port),
        settings_(std::move(settings)),
        hooks_(std::move(hooks)),
        metrics_(metrics),
        seed_(seed),
        election_(settings_.instance, RankOf(seed), Millicores()),
        jobs_topic_{settings_.store, Platform::kJobsTopic},
        operator_follower_(port, {settings_.store, Platform::kOperatorTopic}, OperatorReadOptions(),
                           {[this](const auto& items) { OnOperatorReload(items); },
                            [this](const auto& items) { OnOperatorItems(items); },
                            {}}),
        jobs_follower_(
            port, jobs_topic_, {},
            {[this](const auto& items) { OnJobsReload(items); },
             [this](const auto& items) { OnJobBatch(items); }, [this] { OnJobsReadFailed(); }}),
        appender_(port, jobs_topic_, CallerAppendOptions()),
        peers_(port, settings_.instance),
        front_(port, jobs_, operators_, appender_, peers_, metrics_,
               {hooks_.answer, [this] { OnOwnJobsChanged(); },
                [this] { return jobs_follower_.last_read_at(); }, [this] { return has_store_; },
                [this] { return OtherOwner(); }}) {}

  /// @brief Starts following the store. Call once.
  void Start() {
    operator_follower_.Start();
    jobs_follower_.Start();
    CheckElection();
  }

  void OnRequest(net::ServerRequest request) { front_.Handle(std::move(request)); }

  /// @brief Resigns ownership, if it is held, and stops claiming it.
  void OnStop() {
    is_stopping_ = true;
    UpdateReady();
    if (owner_ != nullptr) {
      owner_->Resign([this] { ScheduleOwnerRemoval(); });
    }
  }

  [[nodiscard]] bool is_owner() const { return owner_ != nullptr; }

 private:
  static constexpr workload::Milliseconds kElectionCheckInterval{100};
  static constexpr workload::Milliseconds kClaimTimeout{800};
  static constexpr workload::Milliseconds kAnnounceRetryDelay{1'000};
  // Shorter than the retention of ended jobs: a late append of a submission that another instance
  // recorded too must not start the job again after it was dropped.
  static constexpr workload::Milliseconds kCallerAppendTimeout{20'000};
  // Long enough to outlast a change of owner. Workers shorten leases beyond their own maximum, so
  // that the lease stays below that by the margin.
  static constexpr workload::Milliseconds kLease{5'500};
  static constexpr workload::Milliseconds kLeaseMargin{200};

  static double RankOf(std::uint32_t seed) {
    constexpr std::uint32_t kSteps = 1'000;
    return static_cast<double>(seed % kSteps) / kSteps;
  }

  std::int64_t Millicores() const {
    constexpr double kMillicoresPerCore = 1'000;
    return std::llround(settings_.processor_share * kMillicoresPerCore);
  }

  // The read capacity of the store is shared: the pause between reads grows with the number of
  // instances.
  TopicFollowerOptions FollowerReadOptions() const {
    constexpr workload::Milliseconds kPausePerPeer{5};
    constexpr std::size_t kMaxPeers = 60;
    TopicFollowerOptions options;
    options.pause += kPausePerPeer * std::min(peers_.size(), kMaxPeers);
    return options;
  }
  // The pause delays the owner's view of new jobs, so that it is short.
  static TopicFollowerOptions OwnerReadOptions() {
    TopicFollowerOptions options;
    options.pause = workload::Milliseconds(15);
    return options;
  }
  static TopicFollowerOptions OperatorReadOptions() { return OwnerReadOptions(); }

  AppenderOptions CallerAppendOptions() const {
    AppenderOptions options;
    options.producer = settings_.instance + "-" + std::to_string(seed_);
    options.epoch = 1;
    options.give_up_after = kCallerAppendTimeout;
    return options;
  }

  // --- Operator topic.

  void OnOperatorReload(const std::vector<TopicItem>& items) {
    operators_.RestoreAll();
    OnOperatorItems(items);
  }

  void OnOperatorItems(const std::vector<TopicItem>& items) {
    for (const TopicItem& it : items) {
      ApplyOperatorItem(it.item);
    }
    const bool was_current = operators_.IsCurrent(port_.Now());
    operators_.NoteComplete(operator_follower_.complete_until());
    UpdateReady();
    // Nothing is placed or started while the view is stale.
    if (owner_ != nullptr && (!items.empty() || !was_current)) {
      owner_->OnOperatorsChanged();
    }
  }

  void ApplyOperatorItem(const workload::KeyedValue& item) {
    if (const auto data_centre = Platform::EvacuatedDataCentre(item.key)) {
      logging::LogEvent(logging::LogLevel::kInfo, "evacuation",
                        {{"data_centre", *data_centre}, {"active", item.value.empty() ? 0 : 1}});
      item.value.empty() ? operators_.Restore(*data_centre) : operators_.Evacuate(*data_centre);
      return;
    }
    if (item.value.empty()) {
      return;
    }
    OperatorItem parsed = Platform::ParseOperatorItem(item);
    if (auto* config = std::get_if<workload::WorkloadConfig>(&parsed)) {
      const std::uint64_t version = config->version;
      if (operators_.Offer(std::move(*config))) {
        logging::LogEvent(logging::LogLevel::kInfo, "config_in_force", {{"version", version}});
      }
    } else {
      logging::LogEvent(logging::LogLevel::kWarning, "operator_item_ignored", {{"key", item.key}});
    }
  }

  // --- Jobs topic.

  void OnJobsReload(const std::vector<TopicItem>& items) {
    // The table of an owner is ahead of the store and must not be reset to it.
    if (owner_ == nullptr) {
      jobs_.Clear();
    }
    OnJobItems(items, false);
    if (!std::exchange(is_announced_, true)) {
      Announce();
    }
    logging::LogEvent(logging::LogLevel::kInfo, "jobs_loaded",
                      {{"records", items.size()}, {"jobs", jobs_.jobs().size()}});
  }

  // Publishes the address of this instance to its peers; repeated until the store has appended it.
  void Announce() {
    const workload::InstanceSet announcement{{settings_.instance, settings_.listen, Millicores()}};
    appender_.Append({codec::EncodeWorkloadRecord(announcement)}, [this](AppendStatus status) {
      if (status != AppendStatus::kAppended) {
        port_.After(kAnnounceRetryDelay, [this] { Announce(); });
      }
    });
  }

  void OnJobBatch(const std::vector<TopicItem>& items) {
    OnJobItems(items, true);
    if (owner_ == nullptr && !is_stopping_ && HoldsClaim() && HasReadUpToOwner()) {
      BecomeOwner();
    }
  }

  // @param is_new whether the records were read as they were stored, not loaded
  void OnJobItems(const std::vector<TopicItem>& items, bool is_new) {
    election_.OnRead(port_.Now());
    bool has_job_changes = false;
    for (const TopicItem& it : items) {
      has_job_changes = ApplyJobRecord(it, is_new) || has_job_changes;
    }
    UpdateReady();
    if (owner_ != nullptr && has_job_changes) {
      owner_->OnJobsChanged();
    }
  }

  // Returns whether the record is a submission or cancellation, the kinds that callers cause.
  bool ApplyJobRecord(const TopicItem& item, bool is_new) {
    const auto record = CatchRefusal(
        [&]() -> Result<std::optional<workload::WorkloadRecord>> {
          BOOST_LEAF_AUTO(decoded, codec::DecodeWorkloadRecord(item.item));
          return std::optional(std::move(decoded));
        },
        [](const Refusal& refusal) {
          logging::LogEvent(logging::LogLevel::kError, "record_ignored",
                            {{"code", static_cast<int>(refusal.code)}, {"detail", refusal.detail}});
          return std::optional<workload::WorkloadRecord>();
        });
    if (!record) {
      return false;
    }
    if (const auto* set = std::get_if<workload::InstanceSet>(&*record)) {
      peers_.Add(set->instance);
      election_.OnInstance(set->instance);
      if (owner_ == nullptr) {
        jobs_follower_.set_options(FollowerReadOptions());
      }
      return false;
    }
    if (const auto* set = std::get_if<workload::OwnerSet>(&*record)) {
      ApplyOwnerRecord(set->owner, item.offset);
      return false;
    }
    NoteOwnerActivity(*record, item.offset);
    if (const auto* set = std::get_if<workload::TaskSet>(&*record); set != nullptr && is_new) {
      recent_starts_.OnRecord(*set, port_.Now());
    }
    const bool is_caller_record = std::holds_alternative<workload::SubmissionSet>(*record) ||
                                  std::holds_alternative<workload::CancellationSet>(*record);
    // An owner that has dropped a job from its table may load its submission again, and must then
    // know that the job has ended.
    const auto* end = std::get_if<workload::JobEndSet>(&*record);
    const bool is_end_of_unknown = end != nullptr && jobs_.Find(end->job) == nullptr;
    if (owner_ == nullptr || is_caller_record || is_end_of_unknown) {
      jobs_.Apply(*record);
    }
    return is_caller_record;
  }

  // Only the owner writes records of tasks and ends, and after its claim no earlier owner does.
  void NoteOwnerActivity(const workload::WorkloadRecord& record, std::uint64_t offset) {
    const bool is_owner_record = std::holds_alternative<workload::TaskSet>(record) ||
                                 std::holds_alternative<workload::JobEndSet>(record);
    if (is_owner_record && offset > owner_offset_) {
      election_.OnOwnerActivity(port_.Now());
    }
  }

  void ApplyOwnerRecord(const workload::OwnerRecord& owner, std::uint64_t offset) {
    election_.OnOwner(owner, port_.Now());
    if (election_.owner() == owner) {
      owner_offset_ = offset;
      if (owner.phase == workload::OwnerPhase::kResigned) {
        // Nobody places tasks until the next claim, which must not wait for the periodic check.
        port_.After(RemainingUntil(election_.EarliestClaim(port_.Now())),
                    [this] { ClaimIfAllowed(); });
      }
    }
    if (owner_ != nullptr && owner.epoch > epoch_ && epoch_ != 0) {
      OnOwnershipLost();
    }
  }

  void OnOwnJobsChanged() {
    if (owner_ != nullptr) {
      owner_->OnJobsChanged();
    }
  }

  void OnJobsReadFailed() {
    election_.OnReadFailed();
    UpdateReady();
  }

  // Without the store no request can be accepted: the load balancer should route to another
  // instance.
  void UpdateReady() {
    has_store_ = jobs_follower_.is_healthy() && !appender_.is_retrying();
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
    if (owner_ == nullptr && !is_claiming_ && !is_stopping_ && jobs_follower_.is_reading() &&
        election_.MayClaim(port_.Now())) {
      Claim();
    }
  }

  [[nodiscard]] workload::Milliseconds RemainingUntil(workload::SteadyTime time) const {
    const auto remaining = std::chrono::ceil<workload::Milliseconds>(time - port_.Now());
    return std::max(remaining, workload::Milliseconds(0));
  }

  void UpdateMetrics() {
    metrics_.Set(kIsOwner.name, owner_ == nullptr ? 0 : 1);
    metrics_.Set(kOwnerEpoch.name,
                 election_.owner() ? static_cast<double>(election_.owner()->epoch) : 0);
    if (const auto read_at = jobs_follower_.last_read_at()) {
      metrics_.Set(kViewAgeSeconds.name,
                   std::chrono::duration<double>(port_.Now() - *read_at).count());
    }
    if (operators_.config()) {
      metrics_.Set(kConfigVersion.name, static_cast<double>(operators_.config()->version));
    }
  }

  void Claim() {
    is_claiming_ = true;
    epoch_ = election_.NextEpoch(nonce_++);
    AppendOrder order;
    order.items = {codec::EncodeWorkloadRecord(
        workload::OwnerSet{{epoch_, settings_.instance, workload::OwnerPhase::kActive}})};
    order.producer = kOwnerProducer;
    order.epoch = epoch_;
    logging::LogEvent(logging::LogLevel::kInfo, "claiming_ownership",
                      {{"epoch", epoch_}, {"next_offset", jobs_follower_.next_offset()}});
    port_.Call(
        settings_.store, Platform::AppendRequest(jobs_topic_.topic, order), kClaimTimeout,
        [this](const net::ClientResult& result) { OnClaimAnswer(Platform::ParseAppend(result)); });
  }

  // A claim takes effect only when it is read back from the topic: after it no record of an earlier
  // owner can follow. The answer to the append does not decide: a store that appended another
  // instance's claim of the same epoch acknowledges this one as a duplicate, and a claim without an
  // answer may still be appended.
  void OnClaimAnswer(const AppendAnswer& answer) {
    is_claiming_ = false;
    if (answer.status != AppendStatus::kAppended) {
      logging::LogEvent(logging::LogLevel::kInfo, "claim_failed",
                        {{"epoch", epoch_}, {"status", static_cast<int>(answer.status)}});
    }
    election_.OnClaimAnswered(port_.Now());
  }

  // Whether the newest owner record is the last claim of this instance.
  [[nodiscard]] bool HoldsClaim() const {
    const workload::OwnerRecord own_claim{epoch_, settings_.instance,
                                          workload::OwnerPhase::kActive};
    return epoch_ != 0 && election_.owner() == own_claim;
  }

  // Whether all records before the newest owner record were read: a page of a load may contain the
  // owner record without them.
  [[nodiscard]] bool HasReadUpToOwner() const {
    return jobs_follower_.next_offset() > owner_offset_;
  }

  // Precondition: all records up to the claim have been read.
  void BecomeOwner() {
    logging::LogEvent(logging::LogLevel::kInfo, "ownership_taken",
                      {{"epoch", epoch_}, {"next_offset", jobs_follower_.next_offset()}});
    AppenderOptions appends;
    appends.producer = kOwnerProducer;
    appends.epoch = epoch_;
    appends.first_sequence = 1;
    appends.retries_refused = true;
    OwnerOptions options;
    metrics_.Count(kTakeovers.name);
    options.instance = settings_.instance;
    options.epoch = epoch_;
    options.max_lease = workload::Milliseconds{settings_.max_lease_ms};
    options.lease = std::min(kLease, options.max_lease - kLeaseMargin);
    options.stop_timeout = workload::Milliseconds{settings_.stop_timeout_ms};
    options.gang_timeout = workload::Milliseconds{settings_.gang_timeout_ms};
    options.retention = std::chrono::seconds{settings_.state_retention_s};
    options.advice_address = settings_.advice;
    options.handed_over_at = election_.handed_over_at();
    owner_ = std::make_unique<Owner<Platform, Port>>(
        port_, jobs_, recent_starts_, operators_, metrics_,
        std::make_unique<Appender<Platform, Port>>(port_, jobs_topic_, appends), options,
        OwnerHooks{[this] { OnOwnershipLost(); }, [this] { election_.OnHandOver(port_.Now()); },
                   [this] { return peers_.size() > 0; }});
    jobs_follower_.set_options(OwnerReadOptions());
    typename WorkerDirectory<Platform, Port>::Sink sink;
    sink.on_worker = [this](const workload::WorkerInfo& it) { owner_->OnWorker(it); };
    sink.on_gone = [this](const std::string& id) { owner_->OnWorkerGone(id); };
    directory_ = std::make_unique<WorkerDirectory<Platform, Port>>(
        port_, StoreEndpoint{settings_.store, Platform::kWorkerTopic}, std::move(sink));
    owner_->Start();
    directory_->Start();
  }

  // The instance that owns the workers, if it is another one; otherwise empty.
  std::string OtherOwner() const {
    const auto& owner = election_.owner();
    const bool is_other = owner && owner->phase == workload::OwnerPhase::kActive &&
                          owner->instance != settings_.instance;
    return is_other ? owner->instance : std::string();
  }

  void OnOwnershipLost() {
    epoch_ = 0;
    // The table may contain changes that were never stored.
    jobs_follower_.set_options(FollowerReadOptions());
    jobs_follower_.Reload();
    ScheduleOwnerRemoval();
  }

  // Deferred, since the owner may be on the call stack.
  void ScheduleOwnerRemoval() {
    port_.After(workload::Milliseconds(0), [this] {
      directory_.reset();
      owner_.reset();
    });
  }

  static constexpr const char* kOwnerProducer = "owner";

  Port& port_;
  const settings::EntrySettings settings_;
  const Hooks hooks_;
  metrics::MetricRegistry& metrics_;
  const std::uint32_t seed_;
  workload::OwnerElection election_;
  const StoreEndpoint jobs_topic_;
  workload::JobTable jobs_;
  workload::RecentStarts recent_starts_;
  OperatorView operators_;
  TopicFollower<Platform, Port> operator_follower_;
  TopicFollower<Platform, Port> jobs_follower_;
  Appender<Platform, Port> appender_;
  PeerRouter<Port> peers_;
  CallerFront<Platform, Port> front_;
  std::unique_ptr<Owner<Platform, Port>> owner_;
  std::unique_ptr<WorkerDirectory<Platform, Port>> directory_;
  // Epoch of the last claim; 0 after it was lost.
  std::uint64_t epoch_ = 0;
  // Offset of the newest owner record.
  std::uint64_t owner_offset_ = 0;
  // Makes the epochs of this instance differ from those of others; changes with each claim, in case
  // two instances collide.
  std::uint64_t nonce_ = seed_;
  bool has_store_ = false;
  // Whether this instance has begun to publish its address.
  bool is_announced_ = false;
  bool is_claiming_ = false;
  bool is_stopping_ = false;
};

}  // namespace clementineloom::entry
