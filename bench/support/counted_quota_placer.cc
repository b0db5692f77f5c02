#include "support/counted_quota_placer.h"

#include "support/quota_ledger.h"

namespace clementineloom::bench {

std::optional<Placement> CountedQuotaPlacer::Place(const ClusterState& state, JobId job,
                                                   Instant now) {
  if (heads_at_ != state.applied_offset()) {
    FindHeads(state);
  }
  return heads_.contains(job) ? first_fit_.Place(state, job, now) : std::nullopt;
}

void CountedQuotaPlacer::FindHeads(const ClusterState& state) {
  const QuotaLedger ledger(state);
  std::set<TeamId> teams_with_head;
  heads_.clear();
  heads_at_ = state.applied_offset();
  for (const JobId id : state.waiting_jobs()) {
    const JobEntry& job = *state.FindJob(id);
    const bool has_head =
        scope_ == QueueScope::kCluster ? !heads_.empty() : teams_with_head.contains(job.team);
    if (!has_head && ledger.Admits(job)) {
      heads_.insert(id);
      teams_with_head.insert(job.team);
    }
  }
}

}  // namespace clementineloom::bench
