#include "support/quota_ledger.h"

#include <algorithm>

namespace clementineloom::bench {

QuotaLedger::QuotaLedger(const ClusterState& state) : rows_(state.teams().size()) {
  for (std::size_t n = 0; n < rows_.size(); ++n) {
    for (const Guarantee& it : state.teams()[n].team.guarantees()) {
      rows_[n].quota += it.shape().total_accelerators() * it.count();
    }
  }
  for (const JobId id : state.active_jobs()) {
    const JobEntry& job = *state.FindJob(id);
    rows_[job.team.value()].use += job.spec->shape().total_accelerators();
  }
  for (const JobId id : state.waiting_jobs()) {
    rows_[state.FindJob(id)->team.value()].is_waiting = true;
  }
  for (std::uint32_t n = 0; n < state.workers().size(); ++n) {
    free_ += state.IsPlaceable(WorkerId(n)) ? state.worker(WorkerId(n)).free_accelerators : 0;
  }
}

bool QuotaLedger::Admits(const JobEntry& job) const {
  const std::uint32_t size = job.spec->shape().total_accelerators();
  const Row& own = rows_[job.team.value()];
  if (own.use + size <= own.quota) {
    return true;
  }
  std::uint32_t wanted_by_others = 0;
  for (const Row& it : rows_) {
    if (&it != &own && it.is_waiting) {
      wanted_by_others += it.quota - std::min(it.quota, it.use);
    }
  }
  return free_ >= wanted_by_others + size;
}

}  // namespace clementineloom::bench
