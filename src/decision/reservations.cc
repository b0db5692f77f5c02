#include "clementineloom/decision/reservations.h"

#include <algorithm>
#include <limits>
#include <set>

#include "clementineloom/decision/detail/domain_workers.h"
#include "clementineloom/decision/detail/sort_unique.h"

namespace clementineloom {

using detail::WorkerRooms;

namespace {

std::int32_t InUse(const WorkerRooms& rooms, WorkerId worker, std::int32_t needed) {
  return needed - std::clamp(rooms.room(worker).free, 0, needed);
}

// The workers of a domain with the fewest accelerators in use, as many as the shape needs; fewer if
// the domain is too small.
std::vector<WorkerId> FreestWorkers(const ClusterState& state, const WorkerRooms& rooms,
                                    const std::set<WorkerId>& taken, const GangShape& shape,
                                    std::uint32_t domain) {
  const std::int32_t needed = shape.accelerators_per_worker();
  std::vector<WorkerId> workers;
  detail::ForEachWorker(state, shape.adjacency(), domain, [&](WorkerId it) {
    if (rooms.room(it).capacity >= needed && !taken.contains(it)) {
      workers.push_back(it);
    }
  });
  std::ranges::stable_sort(workers, {}, [&](WorkerId it) { return InUse(rooms, it, needed); });
  workers.resize(std::min<std::size_t>(workers.size(), shape.workers()));
  return workers;
}

Duration Remaining(const ClusterState& state, JobId job, const RunTimeEstimates& estimates,
                   const StartTimes& start_times, Instant now) {
  // The median: a lower quantile admits less backfill, a higher one causes more of it to be stopped
  // early.
  constexpr double kQuantile = 0.5;
  const Duration estimate = estimates.Quantile(*state.FindJob(job)->spec, kQuantile);
  return std::max(estimate - start_times.Elapsed(job, now), Duration::zero());
}

}  // namespace

void Reservations::Refresh(const ClusterState& state) {
  std::erase_if(reservations_, [&](const auto& it) {
    const JobEntry* job = state.FindJob(it.first);
    return job == nullptr || job->phase != JobPhase::kWaiting ||
           !std::ranges::all_of(it.second.workers,
                                [&](WorkerId worker) { return state.IsPlaceable(worker); });
  });
}

void Reservations::Add(const ClusterState& state, const WorkerRooms& rooms, JobId job,
                       const std::vector<Placement>& placed_before) {
  const GangShape& shape = state.FindJob(job)->spec->shape();
  // A worker is reserved for one job only: a second reservation would block the first job.
  std::set<WorkerId> taken;
  for (const auto& [other, reservation] : reservations_) {
    taken.insert(reservation.workers.begin(), reservation.workers.end());
  }
  std::vector<WorkerId> best;
  std::int32_t least_in_use = std::numeric_limits<std::int32_t>::max();
  const std::size_t n = detail::DomainCount(state, shape.adjacency());
  for (std::uint32_t domain = 0; domain < n; ++domain) {
    std::vector<WorkerId> workers = FreestWorkers(state, rooms, taken, shape, domain);
    if (workers.size() < shape.workers()) {
      continue;
    }
    std::int32_t in_use = 0;
    for (const WorkerId it : workers) {
      in_use += InUse(rooms, it, shape.accelerators_per_worker());
    }
    if (in_use < least_in_use) {
      least_in_use = in_use;
      best = std::move(workers);
    }
  }
  if (!best.empty()) {
    std::vector<JobId> jobs;
    jobs.reserve(placed_before.size());
    for (const Placement& it : placed_before) {
      jobs.push_back(it.job());
    }
    std::ranges::sort(jobs);
    reservations_.emplace(job, Reservation{job, std::move(best), shape.accelerators_per_worker(),
                                           state.applied_offset(), std::move(jobs)});
  }
}

const Reservation* Reservations::Find(JobId job) const {
  const auto it = reservations_.find(job);
  return it == reservations_.end() ? nullptr : &it->second;
}

std::vector<JobId> Reservations::JobsOn(const ClusterState& state, const Reservation& reservation,
                                        bool backfill) {
  std::vector<JobId> jobs;
  for (const WorkerId worker : reservation.workers) {
    const WorkerEntry& entry = state.worker(worker);
    if (entry.free_accelerators >= reservation.accelerators) {
      continue;
    }
    for (const JobId it : entry.jobs) {
      const bool is_later = state.FindJob(it)->token.value() > reservation.made_at.value() &&
                            !std::ranges::binary_search(reservation.placed_before, it);
      if (is_later == backfill) {
        jobs.push_back(it);
      }
    }
  }
  detail::SortUnique(jobs);
  return jobs;
}

std::vector<JobId> Reservations::OverrunBackfill(const ClusterState& state) const {
  std::vector<JobId> overrun;
  for (const auto& [job, reservation] : reservations_) {
    if (!JobsOn(state, reservation, false).empty()) {
      continue;
    }
    for (const JobId it : JobsOn(state, reservation, true)) {
      const JobEntry& entry = *state.FindJob(it);
      if (entry.kind == CapacityKind::kBorrowed && entry.phase != JobPhase::kStopping) {
        overrun.push_back(it);
      }
    }
  }
  detail::SortUnique(overrun);
  return overrun;
}

Duration Reservations::ShortestWait(const ClusterState& state, const RunTimeEstimates& estimates,
                                    const StartTimes& start_times, Instant now) const {
  Duration shortest = Duration::max();
  for (const auto& [job, reservation] : reservations_) {
    Duration wait = Duration::zero();
    for (const JobId it : JobsOn(state, reservation, false)) {
      wait = std::max(wait, Remaining(state, it, estimates, start_times, now));
    }
    shortest = std::min(shortest, wait);
  }
  return shortest;
}

}  // namespace clementineloom
