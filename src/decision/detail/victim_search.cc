#include "clementineloom/decision/detail/victim_search.h"

#include <algorithm>
#include <limits>

namespace clementineloom::detail {

Victims VictimSearch::Choose(const std::vector<WorkerId>& workers, std::size_t n,
                             std::uint32_t accelerators) const {
  std::vector<std::pair<std::uint64_t, WorkerId>> by_cost;
  by_cost.reserve(workers.size());
  for (const WorkerId it : workers) {
    std::set<JobId> victims;
    MakeRoomOn(it, accelerators, victims);
    by_cost.emplace_back(CostOf(victims), it);
  }
  std::ranges::sort(by_cost);
  by_cost.resize(std::min(by_cost.size(), n));
  Victims chosen;
  std::set<JobId> victims;
  for (const auto& [cost, worker] : by_cost) {
    MakeRoomOn(worker, accelerators, victims);
    chosen.workers.push_back(worker);
  }
  Prune(chosen.workers, accelerators, victims);
  chosen.jobs.assign(victims.begin(), victims.end());
  chosen.cost = CostOf(victims);
  return chosen;
}

std::uint64_t VictimSearch::CostOf(const JobEntry& job) {
  const auto weight = std::uint64_t{1} << static_cast<unsigned>(job.spec->priority());
  return weight * job.spec->shape().total_accelerators();
}

bool VictimSearch::IsStopping(JobId job) const {
  return state_->FindJob(job)->phase == JobPhase::kStopping || stopping_->contains(job);
}

std::int32_t VictimSearch::Available(WorkerId worker, const std::set<JobId>& victims) const {
  std::int32_t available = rooms_->room(worker).free;
  for (const JobId it : state_->worker(worker).jobs) {
    if (IsStopping(it) || victims.contains(it)) {
      available += state_->FindJob(it)->spec->shape().accelerators_per_worker();
    }
  }
  return available;
}

void VictimSearch::MakeRoomOn(WorkerId worker, std::uint32_t accelerators,
                              std::set<JobId>& victims) const {
  const auto needed = static_cast<std::int32_t>(accelerators);
  if (Available(worker, victims) >= needed) {
    return;
  }
  std::vector<std::pair<std::uint64_t, JobId>> borrowed;
  for (const JobId it : state_->worker(worker).jobs) {
    const JobEntry& job = *state_->FindJob(it);
    if (job.kind == CapacityKind::kBorrowed && !IsStopping(it)) {
      borrowed.emplace_back(CostOf(job), it);
    }
  }
  std::ranges::sort(borrowed);
  if (borrowed.size() <= kJobsCompared) {
    TakeCheapest(borrowed, needed - Available(worker, victims), victims);
    return;
  }
  for (const auto& [cost, job] : borrowed) {
    if (Available(worker, victims) >= needed) {
      return;
    }
    victims.insert(job);
  }
}

void VictimSearch::TakeCheapest(const std::vector<std::pair<std::uint64_t, JobId>>& jobs,
                                std::int32_t needed, std::set<JobId>& victims) const {
  // Each value of the loop variable is a bit set of jobs.
  const std::uint32_t sets = 1U << jobs.size();
  std::uint64_t least_cost = std::numeric_limits<std::uint64_t>::max();
  std::uint32_t cheapest = 0;
  for (std::uint32_t set = 1; set < sets; ++set) {
    std::uint64_t cost = 0;
    std::int32_t freed = 0;
    for (std::size_t n = 0; n < jobs.size(); ++n) {
      const JobId job = jobs[n].second;
      if ((set >> n & 1U) != 0 && !victims.contains(job)) {
        cost += jobs[n].first;
        freed += state_->FindJob(job)->spec->shape().accelerators_per_worker();
      }
    }
    if (freed >= needed && cost < least_cost) {
      least_cost = cost;
      cheapest = set;
    }
  }
  for (std::size_t n = 0; n < jobs.size(); ++n) {
    if ((cheapest >> n & 1U) != 0) {
      victims.insert(jobs[n].second);
    }
  }
}

std::uint64_t VictimSearch::CostOf(const std::set<JobId>& victims) const {
  std::uint64_t cost = 0;
  for (const JobId it : victims) {
    cost += CostOf(*state_->FindJob(it));
  }
  return cost;
}

void VictimSearch::Prune(const std::vector<WorkerId>& workers, std::uint32_t accelerators,
                         std::set<JobId>& victims) const {
  const auto needed = static_cast<std::int32_t>(accelerators);
  std::vector<JobId> most_expensive_first(victims.begin(), victims.end());
  std::ranges::stable_sort(most_expensive_first, std::greater(),
                           [this](JobId it) { return CostOf(*state_->FindJob(it)); });
  for (const JobId job : most_expensive_first) {
    victims.erase(job);
    const bool is_needed = std::ranges::any_of(state_->FindJob(job)->allocations, [&](auto& it) {
      return std::ranges::find(workers, it.worker()) != workers.end() &&
             Available(it.worker(), victims) < needed;
    });
    if (is_needed) {
      victims.insert(job);
    }
  }
}

}  // namespace clementineloom::detail
