#include "clementineloom/decision/start_times.h"

namespace clementineloom {

void StartTimes::Observe(const ClusterState& state, JobId job, Instant now) {
  const JobEntry* entry = state.FindJob(job);
  if (entry == nullptr || entry->allocations.empty()) {
    started_.erase(job);
    return;
  }
  auto& [attempt, started] = started_[job];
  if (attempt != entry->attempt) {
    attempt = entry->attempt;
    started = now;
  }
}

Duration StartTimes::Elapsed(JobId job, Instant now) const {
  const auto it = started_.find(job);
  return it == started_.end() ? Duration::zero() : now - it->second.second;
}

}  // namespace clementineloom
