#pragma once

#include <algorithm>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <unordered_set>
#include <utility>
#include <vector>

#include "clementineloom/decision/decision_engine.h"
#include "clementineloom/decision/plan_confirm.h"
#include "clementineloom/errors/result_code_table.h"
#include "scheduler/attempt_publisher.h"
#include "scheduler/decision_event.h"
#include "scheduler/decision_options.h"
#include "scheduler/decision_outputs.h"
#include "scheduler/instance_list_changes.h"
#include "scheduler/make_attempt.h"
#include "scheduler/operator/operator_views.h"
#include "scheduler/pending_operations.h"
#include "scheduler/plan_store.h"
#include "scheduler/proposal_pacer.h"
#include "scheduler/record_id_source.h"
#include "scheduler/release_memory.h"
#include "scheduler/snapshot_schedule.h"
#include "scheduler/state_replica.h"
#include "scheduler/time_pair.h"

namespace clementineloom::scheduler {

/// @brief Owns the ClusterState: applies the control stream, decides, answers operators.
///
/// It waits only for its own ring. At most one batch of decisions is in flight: the next one is
/// made from a state that includes it, so that no decision contradicts an earlier one.
///
/// Thread safety: none; other threads reach it only through its ring.
template <Placer P>
class DecisionDuty {
 public:
  DecisionDuty(DecisionOptions options, DecisionEngine<P> engine, DecisionOutputs outputs)
      : options_(std::move(options)),
        engine_(std::move(engine)),
        outputs_(outputs),
        replica_(outputs.metrics),
        attempts_(outputs.driver),
        pacer_(options_.rank_delay),
        snapshots_(options_.snapshot_interval),
        record_ids_(options_.process, "d"),
        membership_(std::make_shared<const MembershipView>()) {}

  /// @brief Handles events until the ring is closed and drained.
  void Run(BoundedRing<DecisionEvent>& events) {
    for (;;) {
      auto event = events.PopFor(kTick);
      if (event) {
        Handle(std::move(*event), CurrentTime());
      } else if (events.closed()) {
        return;
      }
      Tick(CurrentTime());
    }
  }

  /// @brief Handles one event.
  void Handle(DecisionEvent event, const TimePair& now) {
    std::visit([&](auto& it) { this->Take(std::move(it), now); }, event);
  }

  /// @brief Makes due decisions and snapshots, and answers requests whose deadline has passed.
  void Tick(const TimePair& now) {
    pending_.Expire(now.monotonic);
    if (release_memory_at_ && now.monotonic >= *release_memory_at_) {
      ReleaseFreeMemory();
      release_memory_at_.reset();
    }
    if (replica_.freshness().is_serving()) {
      attempts_.Flush(replica_.state());
    }
    WriteSnapshotIfDue();
    Propose(now);
    PublishHealth(now);
    if (is_draining_ && !is_drained_ && pending_.size() == 0) {
      is_drained_ = outputs_.drained.TryPush(Drained{DrainedDuty::kDecision});
    }
  }

  [[nodiscard]] const ClusterState& state() const { return replica_.state(); }
  [[nodiscard]] const ViewFreshness& freshness() const { return replica_.freshness(); }

 private:
  // Bounds the extra delay of proposals of lower ranks; well below rank_delay.
  static constexpr std::chrono::milliseconds kTick{100};
  static constexpr std::chrono::seconds kHealthInterval{1};
  // By then the follower has read past the chunks and has released their text.
  static constexpr std::chrono::seconds kReleaseDelay{2};
  // Subject of the ranking for decisions; attempts are ranked by their job instead.
  static constexpr std::uint64_t kDecisionSubject = 0;

  void Take(const platform::FollowedBatch& batch, const TimePair& now) {
    const bool was_serving = replica_.freshness().is_serving();
    LogProgress progress;
    const bool is_restored =
        replica_.Follow(batch, [&](const Record& record, const ApplyOutcome& outcome) {
          Observe(record, outcome, progress);
        });
    if (is_restored) {
      release_memory_at_ = now.monotonic + kReleaseDelay;
      snapshots_.OnComplete(batch.restored->applied_offset());
    }
    for (const platform::FollowedRecord& it : batch.records) {
      snapshots_.OnComplete(it.snapshot_covers);
    }
    if (replica_.freshness().is_serving() && (is_restored || !was_serving)) {
      attempts_.MarkAllChanged(replica_.state());
    }
    is_changed_ |= is_restored || !batch.records.empty();
    progress.at_tail = replica_.freshness().at_tail;
    // If the ring is full, the append duty may repeat a record under its id, which has no effect.
    (void)outputs_.append.TryPush(std::move(progress));
    PublishFreshness();
  }

  void Take(std::shared_ptr<const platform::InstanceList> list, const TimePair&) {
    if (list_ != nullptr && list->version < list_->version) {
      outputs_.metrics.Count("loom_instance_lists_ignored_total", "reason", "older_version");
      return;
    }
    if (list_ != nullptr && list->version == list_->version) {
      return;
    }
    for (const platform::Instance& it : list->instances) {
      if (it.role == platform::InstanceRole::kWorker) {
        ever_listed_.insert(it.name);
      }
    }
    membership_ = std::make_shared<const MembershipView>(SchedulersOf(*list));
    list_ = std::move(list);
    is_changed_ = true;
    is_list_applied_ = false;
    is_membership_published_ = false;
  }

  void Take(const ProposalDropped& dropped, const TimePair&) {
    pending_.Drop(dropped);
    in_flight_.erase(dropped.record_id);
  }

  void Take(PeerFreshness peer, const TimePair&) {
    replica_.UpdateFreshness(peer);
    PublishFreshness();
  }

  void Take(StartDraining, const TimePair&) { is_draining_ = true; }

  void Take(OperatorCall call, const TimePair& now) {
    std::visit([&](const auto& request) { this->Serve(request, call, now); }, call.request);
  }

  void Observe(const Record& record, const ApplyOutcome& outcome, LogProgress& progress) {
    if (record.id.starts_with(options_.process)) {
      progress.own_records.push_back(record.id);
      in_flight_.erase(record.id);
    }
    pending_.Resolve(replica_.state(), record, outcome);
    if (!outcome.accepted()) {
      return;
    }
    if (replica_.freshness().is_serving()) {
      attempts_.MarkChanged(AffectedJobs(replica_.state(), record));
    }
    is_list_applied_ &= !std::holds_alternative<ConfigChanged>(record.body) &&
                        !std::holds_alternative<JobStopped>(record.body) &&
                        !std::holds_alternative<WorkerConditionChanged>(record.body);
  }

  void Serve(const StatusGet&, const OperatorCall& call, const TimePair& now) {
    const ClusterState& state = replica_.state();
    Answer(call, StatusView{.instance = options_.instance,
                            .freshness = FreshnessOf(now),
                            .config_revision = state.config_revision(),
                            .is_serving = replica_.freshness().is_serving(),
                            .is_outdated = replica_.freshness().is_outdated,
                            .is_draining = is_draining_,
                            .waiting_jobs = state.waiting_jobs().size(),
                            .active_jobs = state.active_jobs().size(),
                            .workers = state.workers().size(),
                            .peers = membership_->schedulers()});
  }

  void Serve(const PeerView&, const OperatorCall& call, const TimePair& now) {
    Answer(call, FreshnessOf(now));
  }

  void Serve(const ConfigGet&, const OperatorCall& call, const TimePair&) {
    AnswerIfServing(call, [&] { return ConfigViewOf(replica_.state()); });
  }

  void Serve(const WorkerList&, const OperatorCall& call, const TimePair&) {
    AnswerIfServing(call, [&] { return WorkerViewsOf(replica_.state()); });
  }

  void Serve(const JobList&, const OperatorCall& call, const TimePair&) {
    AnswerIfServing(call, [&] { return JobViewsOf(replica_.state()); });
  }

  void Serve(const JobGet& request, const OperatorCall& call, const TimePair&) {
    AnswerIfServing(
        call, [&] { return AnswerOf([&] { return JobViewOf(replica_.state(), request.job); }); });
  }

  void Serve(const JobExplain& request, const OperatorCall& call, const TimePair&) {
    AnswerIfServing(
        call, [&] { return AnswerOf([&] { return Explain(replica_.state(), request.job); }); });
  }

  void Serve(const ConfigConfirm& request, const OperatorCall& call, const TimePair&) {
    // Revisions only increase, so an older base cannot become current again.
    const ConfigRevision current = replica_.state().config_revision();
    if (replica_.freshness().is_serving() && request.base_revision < current) {
      Answer(call, Refusal{ResultCode::kRevisionConflict, RunState::kDidNotRun,
                           "revision " + std::to_string(current.value()) + " is in force"});
      return;
    }
    ProposeOperation(call, ConfigChanged{request.base_revision, request.edits, request.author});
  }

  void Serve(const ConfigPlan& request, const OperatorCall& call, const TimePair& now) {
    AnswerIfServing(call, [&] {
      return AnswerOf([&]() -> Result<PlanView> {
        BOOST_LEAF_AUTO(plan, MakePlan(replica_.state(), request.edits, engine_, now.wall));
        std::string id = plans_.Add(plan, request.author);
        return PlanView{std::move(id), std::move(plan)};
      });
    });
  }

  void Serve(const PlanConfirmRequest& request, const OperatorCall& call, const TimePair& now) {
    const PlanStore::Entry* shown = plans_.Find(request.plan_id);
    if (shown == nullptr) {
      Answer(call, Refusal{ResultCode::kUnknownReference, RunState::kDidNotRun,
                           "plan " + request.plan_id + " is not known at " + options_.instance});
      return;
    }
    const PlanConfirmation confirmation =
        ConfirmPlan(replica_.state(), shown->plan, engine_, now.wall, shown->author);
    if (!confirmation.is_accepted()) {
      Answer(call, Refusal{confirmation.code(), RunState::kDidNotRun, DetailOf(confirmation)});
      return;
    }
    ProposeOperation(call, *confirmation.record());
  }

  [[nodiscard]] std::string DetailOf(const PlanConfirmation& confirmation) const {
    return "revision " + std::to_string(replica_.state().config_revision().value()) +
           " is in force; the steps of " + std::to_string(confirmation.difference().steps.size()) +
           " jobs differ from the plan";
  }

  void Serve(const JobSubmit& request, const OperatorCall& call, const TimePair& now) {
    if (const auto known = replica_.state().FindJobByKey(request.key)) {
      const bool is_same = *replica_.state().FindJob(*known)->spec == request.spec;
      Answer(call, is_same ? OperatorAnswer(SubmittedJob{*known})
                           : OperatorAnswer(Refusal{ResultCode::kKeyReused, RunState::kDidNotRun,
                                                    "key " + request.key}));
      return;
    }
    ProposeOperation(call, JobSubmitted{request.key, request.spec, now.wall});
  }

  void Serve(const JobCancel& request, const OperatorCall& call, const TimePair&) {
    ProposeOperation(call, JobsCancelled{request.jobs});
  }

  template <class MakeAnswer>
  void AnswerIfServing(const OperatorCall& call, MakeAnswer make) {
    if (!replica_.freshness().is_serving()) {
      Answer(call, Refusal{ResultCode::kViewStale, RunState::kDidNotRun,
                           "the control stream was not read to its tail yet"});
      return;
    }
    Answer(call, make());
  }

  template <class Operation>
  static OperatorAnswer AnswerOf(Operation operation) {
    return CatchRefusal(
        [&]() -> Result<OperatorAnswer> {
          BOOST_LEAF_AUTO(value, operation());
          return OperatorAnswer(std::move(value));
        },
        [](const Refusal& refusal) { return OperatorAnswer(refusal); });
  }

  void Answer(const OperatorCall& call, OperatorAnswer answer) {
    if (const auto* refusal = std::get_if<Refusal>(&answer)) {
      outputs_.metrics.Count("loom_refusals_total", "reason", ResultCodeName(refusal->code));
    }
    (void)call.reply->TryPush(std::move(answer));
  }

  // Proposes the record of an operator's request, which is answered once the record was read back.
  void ProposeOperation(const OperatorCall& call, RecordBody body) {
    if (const ResultCode code = CheckMayOperate(); code != ResultCode::kOk) {
      Answer(call, Refusal{code, RunState::kDidNotRun, options_.instance});
      return;
    }
    const auto record = std::make_shared<const Record>(Record{record_ids_.Next(), std::move(body)});
    if (!outputs_.append.TryPush(Proposal{record, call.deadline})) {
      Answer(call,
             Refusal{ResultCode::kQueueFull, RunState::kDidNotRun, "the append queue is full"});
      return;
    }
    pending_.Add(record->id, call);
  }

  [[nodiscard]] ResultCode CheckMayOperate() const {
    if (is_draining_) {
      return ResultCode::kDraining;
    }
    if (!replica_.freshness().is_serving()) {
      return ResultCode::kViewStale;
    }
    if (replica_.freshness().is_outdated) {
      return ResultCode::kNewerSchema;
    }
    return pending_.size() < options_.max_pending ? ResultCode::kOk : ResultCode::kQueueFull;
  }

  void Propose(const TimePair& now) {
    if (!MayPropose(now.monotonic)) {
      return;
    }
    const bool is_due = is_changed_ || now.monotonic >= next_decision_;
    if (!is_due) {
      return;
    }
    is_changed_ = false;
    next_decision_ = now.monotonic + options_.decision_interval;
    const std::size_t rank = membership_->RankOf(options_.instance, kDecisionSubject);
    const auto due = pacer_.Due(Decide(now.wall), rank, now.monotonic);
    for (const RecordBody& it : due) {
      ProposeOne(it, now.monotonic);
    }
    // A lower rank decides again soon, because its rank delay may have passed by then.
    if (rank > 0 && due.empty()) {
      next_decision_ = now.monotonic + kTick;
    }
  }

  [[nodiscard]] bool MayPropose(MonotonicTime now) {
    const ViewFreshness& view = replica_.freshness();
    if (is_draining_ || view.is_outdated || !view.IsWithin(options_.max_view_age, now)) {
      return false;
    }
    if (!in_flight_.empty() && now < in_flight_until_) {
      return false;
    }
    in_flight_.clear();
    return true;
  }

  std::vector<RecordBody> Decide(Instant wall) {
    std::vector<RecordBody> decided;
    if (list_ != nullptr && !is_list_applied_) {
      decided = InstanceListChanges(replica_.state(), *list_, ever_listed_);
      is_list_applied_ = decided.empty();
    }
    for (RecordBody& it : engine_.Decide(replica_.state(), wall)) {
      // Before all listed workers are in the state, a job that fits nowhere may fit later.
      if (is_list_applied_ || !NeverFits(it)) {
        decided.push_back(std::move(it));
      }
    }
    return decided;
  }

  static bool NeverFits(const RecordBody& body) {
    const auto* refused = std::get_if<JobRefused>(&body);
    return refused != nullptr && refused->code == ResultCode::kJobNeverFits;
  }

  void ProposeOne(const RecordBody& body, MonotonicTime now) {
    const auto record = std::make_shared<const Record>(Record{record_ids_.Next(), body});
    const MonotonicTime expires_at = now + options_.proposal_timeout;
    if (!outputs_.append.TryPush(Proposal{record, expires_at})) {
      outputs_.metrics.Count("loom_proposals_refused_total", "reason", "queue_full");
      return;
    }
    in_flight_.insert(record->id);
    in_flight_until_ = expires_at;
  }

  void WriteSnapshotIfDue() {
    const ViewFreshness& view = replica_.freshness();
    const std::size_t rank = membership_->RankOf(options_.instance, kDecisionSubject);
    if (!view.is_serving() || view.is_outdated || !snapshots_.IsDue(view.read_to, rank)) {
      return;
    }
    auto image = std::make_shared<const StateImage>(replica_.state().ToImage());
    if (outputs_.append.TryPush(SnapshotDue{record_ids_.Next(), std::move(image)})) {
      snapshots_.OnStarted(view.read_to);
    }
  }

  void PublishFreshness() {
    // A driver that misses an update works with an older view, which is safe.
    (void)outputs_.driver.TryPush(replica_.freshness());
    (void)outputs_.peers.TryPush(replica_.freshness());
    if (!is_membership_published_) {
      const bool is_sent_to_peers = outputs_.peers.TryPush(membership_);
      is_membership_published_ = outputs_.driver.TryPush(membership_) && is_sent_to_peers;
    }
  }

  void PublishHealth(const TimePair& now) {
    const HealthView health{replica_.freshness(), replica_.state().config_revision(), is_draining_};
    const bool is_due = now.monotonic >= next_health_ || health.is_draining != was_draining_;
    if (!is_due) {
      return;
    }
    next_health_ = now.monotonic + kHealthInterval;
    was_draining_ = health.is_draining;
    (void)outputs_.admin.TryPush(health);
  }

  [[nodiscard]] FreshnessView FreshnessOf(const TimePair& now) const {
    const ViewFreshness& view = replica_.freshness();
    FreshnessView answer{view.read_to, view.tail, std::nullopt};
    if (view.is_serving()) {
      answer.age = std::chrono::ceil<Duration>(now.monotonic - view.at_tail);
    }
    return answer;
  }

  const DecisionOptions options_;
  DecisionEngine<P> engine_;
  DecisionOutputs outputs_;
  StateReplica replica_;
  AttemptPublisher attempts_;
  ProposalPacer pacer_;
  SnapshotSchedule snapshots_;
  RecordIdSource record_ids_;
  PendingOperations pending_;
  PlanStore plans_;

  std::shared_ptr<const platform::InstanceList> list_;
  std::shared_ptr<const MembershipView> membership_;
  std::unordered_set<std::string> ever_listed_;
  /// Whether the state has all workers of list_.
  bool is_list_applied_ = false;
  bool is_membership_published_ = false;

  /// Ids of the decisions that were proposed and not yet read back.
  std::unordered_set<std::string> in_flight_;
  MonotonicTime in_flight_until_;
  MonotonicTime next_decision_;
  MonotonicTime next_health_;
  /// When the free memory left by the last restored image is returned to the system.
  std::optional<MonotonicTime> release_memory_at_;
  bool is_changed_ = false;
  bool is_draining_ = false;
  bool was_draining_ = false;
  bool is_drained_ = false;
};

}  // namespace clementineloom::scheduler
