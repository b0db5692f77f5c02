#include "support/fake_fleet.h"

#include <algorithm>

namespace clementineloom::bench {

Instant FakeFleet::Start(JobId job, std::uint32_t attempt, std::uint32_t accelerators,
                         bool will_fail, Instant now) {
  const Duration restore_time = checkpointed_.contains(job) ? kRestoreTime : Duration::zero();
  running_[job] = {.attempt = attempt,
                   .accelerators = accelerators,
                   .started_at = now,
                   .restore_time = restore_time,
                   .will_fail = will_fail};
  return now + (will_fail ? kFailTime : restore_time + remaining_run_time_.at(job));
}

std::optional<AttemptRun> FakeFleet::RunningAttempt(JobId job) const {
  const auto it = running_.find(job);
  return it == running_.end() ? std::nullopt : std::optional<AttemptRun>(it->second);
}

void FakeFleet::End(JobId job, Instant now, bool keeps_progress) {
  const auto it = running_.find(job);
  if (it == running_.end()) {
    return;
  }
  const AttemptRun run = it->second;
  running_.erase(it);
  const Instant work_started_at = std::min(run.started_at + run.restore_time, now);
  if (!keeps_progress || run.will_fail) {
    return;
  }
  remaining_run_time_[job] -= now - work_started_at;
  checkpointed_.insert(job);
  measured_work_ += measured_.OverlapWith({work_started_at, now}) * run.accelerators;
}

}  // namespace clementineloom::bench
