#pragma once

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/decision/default_decision_engine.h"
#include "decision/cluster_command.h"
#include "decision/cluster_recorder.h"
#include "decision/guarantee_oracle.h"
#include "decision/state_invariants.h"

namespace clementineloom::testing_support {

/// @brief Applies commands to a small cluster with the engines of two replicas, and checks the
/// state after each command.
class ClusterDriver : public ClusterRecorder {
 public:
  ClusterDriver() {
    AddDataCentre("a", 2, 3);
    AddDataCentre("b", 1, 2);
    AddTeam("t0", {Guarantee(Shape(4, 2, Adjacency::kRack), 2)});
    AddTeam("t1", {Guarantee(Shape(2), 4), Guarantee(Shape(8), 1)});
    AddTeam("t2", {Guarantee(Shape(4, 3, Adjacency::kDataCentre), 1)}, false);
    fits_ = GuaranteeOracle(state_, true).Fits();
  }

  /// @brief Runs one command. Returns the first violation.
  [[nodiscard]] std::optional<std::string> Run(const ClusterCommand& command) {
    violation_.reset();
    may_shrink_ = false;
    const std::vector<JobId> unplaceable_before = JobsOnUnplaceableWorkers();
    Execute(command);
    // A shape in use on an unplaceable worker needs other workers once its job ends, so fewer
    // shapes may fit.
    may_shrink_ |= JobsOnUnplaceableWorkers() != unplaceable_before;
    CheckState();
    return violation_;
  }

 private:
  using Kind = CommandKind;

  void Execute(const ClusterCommand& it) {
    switch (it.kind) {
      case Kind::kSubmitSmall:
        SubmitFor(it, Shape(Accelerators(it.b)));
        break;
      case Kind::kSubmitRackGang:
        SubmitFor(it, Shape(Accelerators(it.b), 2 + it.b % 2, Adjacency::kRack));
        break;
      case Kind::kSubmitDataCentreGang:
        SubmitFor(it, Shape(Accelerators(it.b), 2 + it.b % 4, Adjacency::kDataCentre));
        break;
      case Kind::kSubmitUrgent:
        SubmitFor(it, Shape(Accelerators(it.b)), JobPriority::kUrgent);
        break;
      case Kind::kSubmitImpossible:
        SubmitFor(it, Shape(9));
        break;
      case Kind::kSubmitAgain:
        SubmitAgain(it);
        break;
      case Kind::kCancelOne:
        if (const auto job = Choose(AllJobs(), it.a)) {
          (void)Apply(JobsCancelled{{*job}});
        }
        break;
      case Kind::kCancelMany:
        CancelMany(it);
        break;
      case Kind::kDecide:
        ApplyDecision(engines_[0]);
        break;
      case Kind::kDecideOnOtherReplica:
        ApplyDecision(engines_[1]);
        break;
      case Kind::kDecideLate:
        late_records_ = engines_[it.a % 2].Decide(state_, now_);
        break;
      case Kind::kApplyLate:
        ApplyRecords(late_records_, false);
        break;
      default:
        ExecuteEvent(it);
    }
  }

  void ExecuteEvent(const ClusterCommand& it) {
    switch (it.kind) {
      case Kind::kStart:
        if (const auto job = Choose(InPhase(JobPhase::kPlaced), it.a)) {
          (void)Apply(JobStarted{*job, AttemptOf(*job)});
        }
        break;
      case Kind::kFinish:
        FinishOne(it, JobOutcome::kSucceeded);
        break;
      case Kind::kFinishFailed:
        FinishOne(it, JobOutcome::kFailed);
        break;
      case Kind::kFailAttempt:
        if (const auto job = Choose(Active(), it.a)) {
          const auto& allocations = state_.FindJob(*job)->allocations;
          const WorkerId suspect = allocations[it.b % allocations.size()].worker();
          Stop(*job, StopReason::kAttemptFailed, suspect);
        }
        break;
      case Kind::kFailWithoutSuspect:
        StopOne(it, StopReason::kAttemptFailed);
        break;
      case Kind::kAcknowledgeStops:
        AcknowledgeStops();
        break;
      case Kind::kAcknowledgeOneStop:
        if (const auto job = Choose(InPhase(JobPhase::kStopping), it.a)) {
          AcknowledgeStop(*job);
        }
        break;
      case Kind::kRequestStop:
        StopOne(it, StopReason::kStartDeadline);
        break;
      case Kind::kAdvanceTime:
        now_ += std::chrono::minutes(1 + it.a);
        break;
      case Kind::kRestartEngine:
        engines_[it.a % 2] = DefaultDecisionEngine();
        break;
      case Kind::kForgeBorrowed:
        ForgeBorrowed(it);
        break;
      case Kind::kRepeatRecord:
        RepeatRecord();
        break;
      case Kind::kSettle:
        Settle();
        break;
      case Kind::kRestore:
        state_ = ValueOrDie([this] { return ClusterState::Restore(state_.ToImage()); });
        break;
      default:
        ExecuteClusterChange(it);
    }
  }

  void ExecuteClusterChange(const ClusterCommand& it) {
    may_shrink_ = true;
    switch (it.kind) {
      case Kind::kLoseWorker:
        SetConditionOf(it, WorkerCondition::kLost);
        break;
      case Kind::kLeaveWorker:
        SetConditionOf(it, WorkerCondition::kLeaving);
        break;
      case Kind::kQuarantineWorker:
        SetConditionOf(it, WorkerCondition::kQuarantined);
        break;
      case Kind::kMakeWorkerLive:
        SetConditionOf(it, WorkerCondition::kLive);
        break;
      case Kind::kReturnWorkers:
        for (const WorkerEntry& entry : std::vector(state_.workers())) {
          Register(entry, RackName(entry.rack));
        }
        break;
      case Kind::kMoveWorker: {
        const WorkerEntry entry = state_.workers()[it.a % state_.workers().size()];
        Register(entry, "r" + std::to_string(it.b % 3));
        break;
      }
      case Kind::kDataCentreOut:
        SetDataCentre(it.a % 2 == 0 ? "a" : "b", false);
        break;
      case Kind::kDataCentreIn:
        SetDataCentre(it.a % 2 == 0 ? "a" : "b", true);
        break;
      case Kind::kSetTeam:
        AddTeam(TeamName(it.a), GuaranteesFor(it.b), it.b % 3 != 0);
        break;
      case Kind::kDeleteTeam:
        (void)Edit(DeleteTeam{TeamName(it.a)});
        break;
      case Kind::kStaleConfig:
        if (Apply(ConfigChanged{ConfigRevision(0), {DeleteTeam{TeamName(it.a)}}, "late"})
                .accepted()) {
          Fail("a stale configuration was accepted");
        }
        break;
      default:
        break;
    }
  }

  static std::uint16_t Accelerators(std::uint16_t n) {
    constexpr std::uint16_t kChoices[] = {1, 2, 4, 8};
    return kChoices[n / 4 % 4];
  }

  static std::string TeamName(std::uint16_t n) { return "t" + std::to_string(n % 4); }

  static std::vector<Guarantee> GuaranteesFor(std::uint16_t n) {
    const std::uint16_t count = 1 + n % 2;
    switch (n / 2 % 4) {
      case 0:
        return {Guarantee(Shape(4, 2, Adjacency::kRack), count)};
      case 1:
        return {Guarantee(Shape(2), 2 * count), Guarantee(Shape(4), count)};
      case 2:
        return {Guarantee(Shape(2, 3, Adjacency::kDataCentre), count)};
      default:
        return {Guarantee(Shape(8, 1, Adjacency::kRack), count)};
    }
  }

  std::string RackName(RackId rack) const { return state_.rack(rack).name; }

  void Register(const WorkerEntry& entry, const std::string& rack) {
    (void)AddWorker(entry.name, state_.data_centre(entry.data_centre).data_centre.name(), rack);
  }

  void SubmitFor(const ClusterCommand& it, GangShape shape,
                 JobPriority priority = JobPriority::kNormal) {
    const Duration declared = std::chrono::minutes(1 + it.b);
    (void)Submit(TeamName(it.a), shape, priority, declared, "class" + std::to_string(it.b % 2));
  }

  void SubmitAgain(const ClusterCommand& it) {
    const auto job = Choose(AllJobs(), it.a);
    if (!job) {
      return;
    }
    const JobEntry entry = *state_.FindJob(*job);
    const auto outcome = Apply(JobSubmitted{entry.key, *entry.spec, Instant()});
    if (outcome.accepted() || outcome.job() != *job) {
      Fail("a repeated submission made a second job");
    }
  }

  void CancelMany(const ClusterCommand& it) {
    std::vector<JobId> jobs;
    for (const JobId job : AllJobs()) {
      if (job.value() % 3 == it.a % 3) {
        jobs.push_back(job);
      }
    }
    (void)Apply(JobsCancelled{jobs});
  }

  void FinishOne(const ClusterCommand& it, JobOutcome outcome) {
    if (const auto job = Choose(InPhase(JobPhase::kRunning), it.a)) {
      Finish(*job, outcome, std::chrono::minutes(1 + it.b));
    }
  }

  void StopOne(const ClusterCommand& it, StopReason reason) {
    if (const auto job = Choose(Active(), it.a)) {
      Stop(*job, reason, std::nullopt);
    }
  }

  void Stop(JobId job, StopReason reason, std::optional<WorkerId> suspect) {
    (void)Apply(StopRequested{job, AttemptOf(job), reason, suspect});
  }

  void AcknowledgeStops() {
    for (const JobId job : InPhase(JobPhase::kStopping)) {
      AcknowledgeStop(job);
    }
  }

  void SetConditionOf(const ClusterCommand& it, WorkerCondition condition) {
    SetCondition(state_.workers()[it.a % state_.workers().size()].name, condition);
  }

  void RepeatRecord() {
    const LogOffset next(state_.applied_offset().value() + 1);
    const auto outcome = state_.Apply(next, Record{"1", JobsCancelled{AllJobs()}});
    if (outcome.code() != ResultCode::kDuplicateRecord) {
      Fail("a repeated record was applied");
    }
  }

  void ForgeBorrowed(const ClusterCommand& it) {
    const auto job = Choose(InPhase(JobPhase::kWaiting), it.a);
    if (!job) {
      return;
    }
    const GangShape& shape = state_.FindJob(*job)->spec->shape();
    Placement::Fields fields{.job = *job, .attempt = AttemptOf(*job) + 1, .allocations = {}};
    for (std::uint16_t n = 0; n < shape.workers(); ++n) {
      const WorkerId worker((it.b + n) % static_cast<std::uint32_t>(state_.workers().size()));
      fields.allocations.emplace_back(worker, shape.accelerators_per_worker());
    }
    ApplyPlacements(JobsPlaced{state_.applied_offset(), {Placement(fields)}}, false);
  }

  void ApplyDecision(DefaultDecisionEngine& engine) {
    const auto records = engine.Decide(state_, now_);
    const bool reports_no_risk = engine.Risks(state_).empty();
    if (reports_no_risk && GuaranteeOracle(state_, true).Fits() == false) {
      Fail("an engine reports no risk although the shapes do not fit");
    }
    ApplyRecords(records, true);
  }

  void ApplyRecords(const std::vector<RecordBody>& records, bool is_fresh) {
    for (const RecordBody& it : records) {
      if (const auto* placed = std::get_if<JobsPlaced>(&it)) {
        ApplyPlacements(*placed, is_fresh);
        continue;
      }
      CheckStop(it);
      may_shrink_ |= std::holds_alternative<WorkerConditionChanged>(it);
      (void)Apply(it);
    }
  }

  void CheckStop(const RecordBody& record) {
    const auto* stop = std::get_if<StopRequested>(&record);
    if (stop == nullptr || stop->reason != StopReason::kReclaim) {
      return;
    }
    const JobEntry* job = state_.FindJob(stop->job);
    if (job != nullptr && job->attempt == stop->attempt && job->kind == CapacityKind::kGuaranteed) {
      Fail("guaranteed work is stopped to make room");
    }
  }

  void ApplyPlacements(const JobsPlaced& record, bool is_fresh) {
    const auto codes = Apply(record).placement_codes();
    for (std::size_t n = 0; n < codes.size(); ++n) {
      if (codes[n] != ResultCode::kOk && is_fresh) {
        Fail("a fresh placement is void");
      }
      for (const Allocation& it : record.placements[n].allocations()) {
        if (codes[n] == ResultCode::kOk && !state_.IsPlaceable(it.worker())) {
          Fail("a job was placed on a worker that may not get work");
        }
      }
    }
  }

  // Decides and acknowledges stops until nothing changes; then no guaranteed job may be waiting.
  void Settle() {
    constexpr int kRounds = 12;
    for (int n = 0; n < kRounds; ++n) {
      const LogOffset before = state_.applied_offset();
      ApplyDecision(engines_[0]);
      AcknowledgeStops();
      if (state_.applied_offset() == before) {
        CheckNoGuaranteedJobWaits();
        return;
      }
    }
    Fail("decisions do not settle");
  }

  void CheckNoGuaranteedJobWaits() {
    if (!engines_[0].Risks(state_).empty()) {
      return;
    }
    for (const JobId id : state_.waiting_jobs()) {
      const JobEntry& job = *state_.FindJob(id);
      const bool is_retry = job.failures > 0;
      if (!is_retry && HasWholeIdleCell(job)) {
        Fail("a guaranteed job waits although its team has an idle shape");
      }
    }
  }

  [[nodiscard]] bool HasWholeIdleCell(const JobEntry& job) const {
    const TeamEntry& team = state_.team(job.team);
    for (std::size_t n = 0; n < team.cells.size(); ++n) {
      const bool fits = FitsInCell(team.team.guarantees()[n].shape(), job.spec->shape());
      const bool has_idle =
          std::ranges::any_of(team.cells[n], [](const CellUse& it) { return it.units == 0; });
      if (fits && has_idle) {
        return true;
      }
    }
    return false;
  }

  // Guaranteed jobs on workers that may not get work.
  [[nodiscard]] std::vector<JobId> JobsOnUnplaceableWorkers() const {
    std::vector<JobId> jobs = Active();
    std::erase_if(jobs, [this](JobId it) {
      const JobEntry& job = *state_.FindJob(it);
      return job.kind != CapacityKind::kGuaranteed ||
             std::ranges::all_of(job.allocations, [this](const Allocation& allocation) {
               return state_.IsPlaceable(allocation.worker());
             });
    });
    return jobs;
  }

  void CheckState() {
    if (const auto violation = StateInvariants::Violation(state_)) {
      Fail(*violation);
    }
    const auto fits = GuaranteeOracle(state_, true).Fits();
    if (fits_ == true && fits == false && !may_shrink_) {
      Fail("an idle guaranteed shape lost its place");
    }
    if (fits == true && GuaranteeOracle(state_, false).Fits() == false) {
      Fail("an idle guaranteed shape has no place beside what jobs hold");
    }
    fits_ = fits;
  }

  void Fail(std::string violation) {
    if (!violation_) {
      violation_ = std::move(violation);
    }
  }

  [[nodiscard]] std::uint32_t AttemptOf(JobId job) const { return state_.FindJob(job)->attempt; }

  [[nodiscard]] static std::optional<JobId> Choose(const std::vector<JobId>& jobs,
                                                   std::uint16_t n) {
    return jobs.empty() ? std::nullopt : std::optional(jobs[n % jobs.size()]);
  }

  [[nodiscard]] std::vector<JobId> AllJobs() const {
    std::vector<JobId> jobs;
    for (const auto& [job, entry] : state_.jobs()) {
      jobs.push_back(job);
    }
    std::sort(jobs.begin(), jobs.end());
    return jobs;
  }

  [[nodiscard]] std::vector<JobId> Active() const {
    return {state_.active_jobs().begin(), state_.active_jobs().end()};
  }

  [[nodiscard]] std::vector<JobId> InPhase(JobPhase phase) const {
    std::vector<JobId> jobs = AllJobs();
    std::erase_if(jobs, [&](JobId it) { return PhaseOf(it) != phase; });
    return jobs;
  }

  Instant now_;
  DefaultDecisionEngine engines_[2];
  std::vector<RecordBody> late_records_;
  std::optional<bool> fits_;
  bool may_shrink_ = false;
  std::optional<std::string> violation_;
};

}  // namespace clementineloom::testing_support
