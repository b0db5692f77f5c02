#pragma once

#include <algorithm>
#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "clementineloom/decision/blocked_jobs.h"
#include "clementineloom/decision/decision_options.h"
#include "clementineloom/decision/detail/change_follower.h"
#include "clementineloom/decision/guarantee_risk.h"
#include "clementineloom/decision/job_queue.h"
#include "clementineloom/decision/pass_placer.h"
#include "clementineloom/decision/pass_result.h"
#include "clementineloom/decision/placer.h"
#include "clementineloom/decision/quarantine.h"
#include "clementineloom/decision/reservations.h"
#include "clementineloom/decision/retry_budget.h"
#include "clementineloom/decision/run_time_estimates.h"
#include "clementineloom/decision/start_times.h"
#include "clementineloom/decision/vacate_stops.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"

namespace clementineloom {

/// @brief Derives from a state the records to append next. It neither appends nor applies them.
///
/// With a plain Placer, each call places only the oldest job that fits. With a PassPlacer, the
/// whole policy applies: ordering, batching, refusals, reclaim, reservations with backfill,
/// quarantine and retry budgets. Run time estimates, quarantine times and retry budgets are learnt
/// from the states passed to Decide; they are kept in memory only.
///
/// Thread safety: none; the thread that owns the state calls it.
/// @code
/// DecisionEngine<CellPlacer> engine;
/// for (RecordBody& body : engine.Decide(state, now)) Append(std::move(body));
/// @endcode
template <Placer P>
class DecisionEngine {
 public:
  explicit DecisionEngine(P placer = P(), DecisionOptions options = {})
      : placer_(std::move(placer)), options_(options), quarantine_(options) {}

  /// @brief The records that are due now, in the order in which they should be appended.
  ///
  /// A later call proposes a record again if it was lost or voided, because all records are derived
  /// from the state. Precondition: now never decreases.
  [[nodiscard]] std::vector<RecordBody> Decide(const ClusterState& state, Instant now) {
    if constexpr (PassPlacer<P>) {
      return DecidePass(state, now);
    } else {
      return DecideOne(state, now);
    }
  }

  /// @brief Guarantees for which the last call of Decide found no capacity.
  [[nodiscard]] std::vector<GuaranteeRisk> Risks(const ClusterState& state) const requires
      PassPlacer<P> {
    return placer_.packing().Risks(state);
  }

  [[nodiscard]] const RunTimeEstimates& estimates() const { return estimates_; }
  [[nodiscard]] const Reservations& reservations() const { return reservations_; }

 private:
  // A job is backfilled if this share of similar jobs ends within the time available.
  static constexpr double kBackfillQuantile = 0.9;

  std::vector<RecordBody> DecideOne(const ClusterState& state, Instant now) {
    std::vector<RecordBody> records;
    for (const JobId job : state.waiting_jobs()) {
      if (auto placement = placer_.Place(state, job, now)) {
        // Further jobs would be placed on the same accelerators, so they wait for the next call.
        records.emplace_back(JobsPlaced{state.applied_offset(), {std::move(*placement)}});
        break;
      }
    }
    return records;
  }

  std::vector<RecordBody> DecidePass(const ClusterState& state, Instant now) {
    Observe(state, now);
    placer_.BeginPass(state, now);
    reservations_.Refresh(state);
    LimitProbationWorkers(state);
    PassResult result;
    result.stops = VacateStops(state, placer_.packing().rooms().to_vacate());
    BlockedJobs blocked;
    PlaceWaiting(state, now, result, blocked);
    Backfill(state, now, result, blocked);
    Reserve(state, result.placements, blocked);
    StopOverrunBackfill(state, result);
    return ToRecords(state, now, std::move(result));
  }

  void Observe(const ClusterState& state, Instant now) {
    if (!follower_.Follow(state)) {
      estimates_.Clear();
      start_times_.Clear();
      quarantine_.Clear();
      reservations_.Clear();
    }
    for (const JobId job : follower_.jobs()) {
      ObserveRunTime(state, job);
      start_times_.Observe(state, job, now);
      quarantine_.ObserveJob(state, job);
    }
    for (const WorkerId worker : follower_.workers()) {
      quarantine_.ObserveWorker(state, worker, now);
    }
  }

  void ObserveRunTime(const ClusterState& state, JobId job) {
    const JobEntry* entry = state.FindJob(job);
    const bool has_succeeded = entry != nullptr && entry->outcome == JobOutcome::kSucceeded;
    if (has_succeeded) {
      estimates_.Observe(*entry->spec, entry->run_time);
    }
  }

  // A worker on probation runs at most one job at a time.
  void LimitProbationWorkers(const ClusterState& state) {
    for (const WorkerId worker : quarantine_.ProbationWithJob(state)) {
      placer_.KeepFree(state, worker, placer_.packing().rooms().room(worker).free);
    }
  }

  void PlaceWaiting(const ClusterState& state, Instant now, PassResult& result,
                    BlockedJobs& blocked) {
    JobQueue queue(state, QueuedJobs(state));
    BlockedJobs without_cell;
    bool holds_reservations = false;
    while (result.allocations < options_.max_allocations_per_call) {
      const auto next = queue.Next();
      if (!next) {
        break;
      }
      // Reservations restrict only borrowing jobs: guaranteed jobs take precedence on every worker.
      if (IsBorrowing(next->rank) && !holds_reservations) {
        HoldReservations(state, 1);
        holds_reservations = true;
      }
      if (RefuseIfNotRunnable(state, next->job, result) || !IsRetryAllowed(state, *next, now)) {
        continue;
      }
      if (IsBorrowing(next->rank)) {
        TryBorrowing(state, *next, now, result, queue, blocked);
      } else {
        TryCells(state, *next, now, result, queue, without_cell);
      }
    }
    if (!holds_reservations) {
      HoldReservations(state, 1);
    }
  }

  [[nodiscard]] std::vector<QueuedJob> QueuedJobs(const ClusterState& state) const {
    std::vector<QueuedJob> jobs;
    jobs.reserve(state.waiting_jobs().size());
    // Cached by team and shape, since a burst consists of many jobs of few shapes.
    std::map<std::pair<TeamId, GangShape>, bool> has_idle_cell;
    for (const JobId job : state.waiting_jobs()) {
      const JobEntry& entry = *state.FindJob(job);
      const GangShape& shape = entry.spec->shape();
      const auto [it, is_new] = has_idle_cell.try_emplace({entry.team, shape}, false);
      if (is_new) {
        it->second = placer_.HasIdleCell(state, entry.team, shape);
      }
      jobs.push_back({RankOf(entry.spec->priority(), it->second), job, entry.team});
    }
    return jobs;
  }

  [[nodiscard]] static QueueRank RankOf(JobPriority priority, bool has_idle_cell) {
    switch (priority) {
      case JobPriority::kUrgent:
        return has_idle_cell ? QueueRank::kUrgentGuaranteed : QueueRank::kUrgentBorrowing;
      case JobPriority::kNormal:
        return has_idle_cell ? QueueRank::kGuaranteed : QueueRank::kBorrowing;
      case JobPriority::kLow:
        break;
    }
    return has_idle_cell ? QueueRank::kLowGuaranteed : QueueRank::kLowBorrowing;
  }

  bool RefuseIfNotRunnable(const ClusterState& state, JobId job, PassResult& result) const {
    if (!placer_.CanEverRun(state, job)) {
      result.refusals.push_back({job, ResultCode::kJobNeverFits});
      return true;
    }
    if (HasExhaustedRetries(*state.FindJob(job))) {
      result.refusals.push_back({job, ResultCode::kRetryBudgetExhausted});
      return true;
    }
    return false;
  }

  [[nodiscard]] bool IsRetryAllowed(const ClusterState& state, const QueuedJob& queued,
                                    Instant now) {
    const std::uint32_t limit = state.team(queued.team).team.retry_budget_per_hour();
    return !IsRetry(*state.FindJob(queued.job)) || retry_budget_.MayRetry(queued.team, limit, now);
  }

  void TryCells(const ClusterState& state, const QueuedJob& queued, Instant now, PassResult& result,
                JobQueue& queue, BlockedJobs& without_cell) {
    const GangShape& shape = state.FindJob(queued.job)->spec->shape();
    if (!without_cell.Contains(queued.team, shape)) {
      const auto place = [&] { return placer_.PlaceInCell(state, queued.job); };
      if (auto placement = PlaceAwayFromFailures(state, queued.job, place)) {
        Accept(state, std::move(*placement), now, result);
        queue.Grant(queued.team, shape.total_accelerators());
        return;
      }
      if (PlanReclaim(state, queued.job, result)) {
        return;
      }
      without_cell.Add(queued.job, queued.team, shape);
    }
    const JobPriority priority = state.FindJob(queued.job)->spec->priority();
    queue.Requeue({RankOf(priority, false), queued.job, queued.team});
  }

  void TryBorrowing(const ClusterState& state, const QueuedJob& queued, Instant now,
                    PassResult& result, JobQueue& queue, BlockedJobs& blocked) {
    const GangShape& shape = state.FindJob(queued.job)->spec->shape();
    const Reservation* reservation = reservations_.Find(queued.job);
    const bool is_known_blocked = reservation == nullptr && blocked.Contains(queued.team, shape);
    if (reservation != nullptr) {
      Hold(state, *reservation, -1);
    }
    if (!is_known_blocked && Borrow(state, queued.job, now, result)) {
      queue.Grant(queued.team, shape.total_accelerators());
      return;
    }
    if (reservation != nullptr) {
      Hold(state, *reservation, 1);
    }
    blocked.Add(queued.job, queued.team, shape);
  }

  bool Borrow(const ClusterState& state, JobId job, Instant now, PassResult& result) {
    const auto place = [&] { return placer_.PlaceBorrowing(state, job); };
    auto placement = PlaceAwayFromFailures(state, job, place);
    if (!placement) {
      return false;
    }
    Accept(state, std::move(*placement), now, result);
    return true;
  }

  void Accept(const ClusterState& state, Placement placement, Instant now, PassResult& result) {
    const JobEntry& entry = *state.FindJob(placement.job());
    if (IsRetry(entry)) {
      retry_budget_.Count(entry.team, now);
    }
    reservations_.Remove(placement.job());
    result.allocations += placement.allocations().size();
    result.placements.push_back(std::move(placement));
  }

  [[nodiscard]] bool HasExhaustedRetries(const JobEntry& job) const {
    return job.failed_on.size() >= options_.max_failed_workers ||
           job.failures >= options_.max_failures;
  }

  [[nodiscard]] static bool IsRetry(const JobEntry& job) {
    return job.stop_reason == StopReason::kAttemptFailed ||
           job.stop_reason == StopReason::kStartDeadline;
  }

  // Prefers workers on which the job has not failed; uses the others only if nothing else fits.
  template <class Place>
  std::optional<Placement> PlaceAwayFromFailures(const ClusterState& state, JobId job,
                                                 const Place& place) {
    const std::vector<WorkerId>& failed_on = state.FindJob(job)->failed_on;
    std::vector<std::int32_t> withheld;
    for (const WorkerId it : failed_on) {
      withheld.push_back(std::max(placer_.packing().rooms().room(it).free, 0));
      placer_.KeepFree(state, it, withheld.back());
    }
    auto placement = place();
    for (std::size_t n = 0; n < failed_on.size(); ++n) {
      placer_.KeepFree(state, failed_on[n], -withheld[n]);
    }
    const bool has_no_choice = !placement && !failed_on.empty();
    return has_no_choice ? place() : std::move(placement);
  }

  bool PlanReclaim(const ClusterState& state, JobId job, PassResult& result) {
    const auto plan = placer_.PlanReclaim(state, job);
    if (!plan) {
      return false;
    }
    for (const JobId it : plan->victims) {
      AddStop(state, it, result);
    }
    return true;
  }

  static void AddStop(const ClusterState& state, JobId job, PassResult& result) {
    const bool is_known =
        std::ranges::any_of(result.stops, [job](const StopRequested& it) { return it.job == job; });
    if (!is_known) {
      const std::uint32_t attempt = state.FindJob(job)->attempt;
      result.stops.push_back({job, attempt, StopReason::kReclaim, std::nullopt});
    }
  }

  void Hold(const ClusterState& state, const Reservation& reservation, int sign) {
    for (const WorkerId it : reservation.workers) {
      placer_.KeepFree(state, it, sign * reservation.accelerators);
    }
  }

  void HoldReservations(const ClusterState& state, int sign) {
    for (const auto& [job, reservation] : reservations_.all()) {
      Hold(state, reservation, sign);
    }
  }

  void Backfill(const ClusterState& state, Instant now, PassResult& result,
                const BlockedJobs& blocked) {
    const Duration time = reservations_.ShortestWait(state, estimates_, start_times_, now);
    if (reservations_.all().empty() || time == Duration::zero()) {
      return;
    }
    std::size_t tries = 0;
    HoldReservations(state, -1);
    for (const JobId job : blocked.jobs()) {
      const JobEntry& entry = *state.FindJob(job);
      const bool is_short = estimates_.Quantile(*entry.spec, kBackfillQuantile) <= time;
      const bool is_reserved = reservations_.Find(job) != nullptr;
      if (!is_short || is_reserved || result.allocations >= options_.max_allocations_per_call) {
        continue;
      }
      if (++tries > options_.max_backfill_tries) {
        break;
      }
      (void)Borrow(state, job, now, result);
    }
    HoldReservations(state, 1);
  }

  // Oldest jobs first, regardless of their team's share, so that each job waits a bounded time.
  void Reserve(const ClusterState& state, const std::vector<Placement>& placed_before,
               const BlockedJobs& blocked) {
    std::vector<JobId> oldest = blocked.jobs();
    std::sort(oldest.begin(), oldest.end());
    for (const JobId job : oldest) {
      if (reservations_.all().size() >= options_.max_reservations) {
        return;
      }
      const bool may_borrow = state.team(state.FindJob(job)->team).team.may_borrow();
      if (may_borrow && reservations_.Find(job) == nullptr) {
        reservations_.Add(state, placer_.packing().rooms(), job, placed_before);
      }
    }
  }

  void StopOverrunBackfill(const ClusterState& state, PassResult& result) {
    for (const JobId job : reservations_.OverrunBackfill(state)) {
      AddStop(state, job, result);
    }
  }

  // Changes of worker condition come last: if they came first, they would void guaranteed
  // placements of this pass.
  std::vector<RecordBody> ToRecords(const ClusterState& state, Instant now, PassResult result) {
    std::vector<RecordBody> records;
    for (const StopRequested& it : result.stops) {
      records.emplace_back(it);
    }
    for (const JobRefused& it : result.refusals) {
      records.emplace_back(it);
    }
    if (!result.placements.empty()) {
      records.emplace_back(JobsPlaced{state.applied_offset(), std::move(result.placements)});
    }
    for (WorkerConditionChanged& it : quarantine_.Decide(state, now)) {
      records.emplace_back(std::move(it));
    }
    return records;
  }

  P placer_;
  DecisionOptions options_;
  detail::ChangeFollower follower_;
  RunTimeEstimates estimates_;
  StartTimes start_times_;
  Quarantine quarantine_;
  RetryBudget retry_budget_;
  Reservations reservations_;
};

}  // namespace clementineloom
