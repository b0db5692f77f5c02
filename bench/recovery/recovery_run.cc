#include "recovery/recovery_run.h"

#include <algorithm>

#include "recovery/task_starts.h"
#include "recovery/troubles.h"

namespace clementineloom::bench {
namespace {

using workload::Milliseconds;

constexpr Milliseconds kRunTime{8'000};
// Longer than the run time, so that as many tasks end as start.
constexpr std::int64_t kWarmUpMs = 11'000;
// The trouble begins at a random point of all periodic actions.
constexpr std::uint64_t kWarmUpSpreadMs = 2'000;
// Time before the trouble in which the length of the queue is measured.
constexpr std::int64_t kQueueWindowMs = 5'000;
// Orders that were sent before the trouble arrive within this time.
constexpr std::int64_t kInFlightMs = 10;
// Time for which all has to be at work to count as recovered; longer than a job takes from its
// acceptance to its start.
constexpr std::int64_t kSettleMs = 100;
// Time after the trouble in which runs are still watched, so that a lease that nobody renews ends.
constexpr std::int64_t kWatchMs = 7'000;
// A cluster that has not recovered this long after the trouble is given up.
constexpr std::int64_t kTimeLimitMs = 40'000;

}  // namespace

RecoveryRun::RecoveryRun(const NamedTrouble& trouble, std::uint64_t seed)
    : trouble_(trouble),
      random_(seed),
      cluster_(static_cast<int>(kRecoveryInstances), static_cast<int>(kRecoveryWorkers), kRunTime,
               false, static_cast<std::uint32_t>(random_())),
      arrivals_(cluster_, kRecoveryInstances, random_()) {
  figures_.seed = seed;
}

RecoveryFigures RecoveryRun::Run() {
  WarmUp();
  const std::size_t owner = cluster_.OwnerIndex().value_or(0);
  OwnershipWatch ownership(cluster_, kRecoveryInstances, owner);
  WorkWatch work(cluster_, kRunTime);
  steps_ = trouble_.steps(owner);
  began_at_ms_ = now_ms();
  ended_at_ms_ = began_at_ms_ + steps_.back().at.count();
  origin_ms_ = trouble_.is_measured_from_end ? ended_at_ms_ : began_at_ms_;
  while (!IsOver()) {
    Act();
    Step();
    Observe(ownership, work);
  }
  return figures_;
}

void RecoveryRun::WarmUp() {
  arrivals_.Start();
  const std::int64_t until_ms =
      now_ms() + kWarmUpMs + static_cast<std::int64_t>(random_() % kWarmUpSpreadMs);
  while (now_ms() < until_ms) {
    Step();
    if (now_ms() >= until_ms - kQueueWindowMs) {
      most_waiting_before_ = std::max(most_waiting_before_, arrivals_.waiting());
    }
  }
}

void RecoveryRun::Step() {
  cluster_.world.RunFor(Milliseconds(1));
  starts_ = TaskStartsNow(cluster_);
  for (const TaskStart& it : starts_) {
    arrivals_.OnTaskStart(it);
  }
  if (began_at_ms_ == 0 && !starts_.empty()) {
    last_start_ms_ = now_ms();
  }
}

void RecoveryRun::Act() {
  for (; next_step_ < steps_.size(); ++next_step_) {
    if (began_at_ms_ + steps_[next_step_].at.count() > now_ms()) {
      return;
    }
    steps_[next_step_].act(cluster_);
  }
}

void RecoveryRun::Observe(OwnershipWatch& ownership, WorkWatch& work) {
  ownership.Observe();
  if (!figures_.detect_ms && ownership.claimed_at_ms()) {
    figures_.detect_ms = *ownership.claimed_at_ms() - origin_ms_;
  }
  if (!figures_.claim_ms && ownership.taken_at_ms()) {
    figures_.claim_ms = *ownership.taken_at_ms() - origin_ms_;
  }
  for (const TaskStart& it : starts_) {
    work.OnTaskStart(it);
    OnStart(it, ownership);
  }
  const bool is_at_work = work.IsAllAtWork() && arrivals_.waiting() <= most_waiting_before_;
  if (!is_at_work || !figures_.first_start_ms) {
    at_work_since_ms_.reset();
  } else if (!at_work_since_ms_) {
    at_work_since_ms_ = now_ms();
  }
  if (!figures_.all_ms && at_work_since_ms_ && now_ms() - *at_work_since_ms_ >= kSettleMs) {
    figures_.all_ms = *at_work_since_ms_ - origin_ms_;
  }
}

void RecoveryRun::OnStart(const TaskStart& start, const OwnershipWatch& ownership) {
  if (!figures_.all_ms || now_ms() <= ended_at_ms_) {
    figures_.start_gap_ms = std::max(figures_.start_gap_ms, now_ms() - last_start_ms_);
  }
  last_start_ms_ = now_ms();
  figures_.begun_anew += cluster_.StartsOf(start.task) > 1 ? 1 : 0;
  figures_.run_twice += cluster_.WorkersRunning(start.task).size() > 1 ? 1 : 0;
  const bool is_new =
      now_ms() >= origin_ms_ && now_ms() > began_at_ms_ + kInFlightMs &&
      (!trouble_.replaces_owner || ownership.taken_at_ms().value_or(now_ms()) < now_ms());
  if (is_new && !figures_.first_start_ms) {
    figures_.first_start_ms = now_ms() - origin_ms_;
  }
}

bool RecoveryRun::IsOver() const {
  const bool has_recovered = figures_.all_ms && now_ms() >= ended_at_ms_ + kWatchMs;
  return has_recovered || now_ms() >= ended_at_ms_ + kTimeLimitMs;
}

}  // namespace clementineloom::bench
