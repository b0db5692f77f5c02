#pragma once

#include <optional>
#include <set>
#include <string>

#include "clementineloom/state/cell_units.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::testing_support {

/// @brief Invariants of every accepted state; Violation returns the first one that does not hold.
class StateInvariants {
 public:
  [[nodiscard]] static std::optional<std::string> Violation(const ClusterState& state) {
    for (const JobId id : state.active_jobs()) {
      if (state.waiting_jobs().contains(id)) {
        return "a job waits and holds accelerators";
      }
      if (!IsCompleteGang(state, *state.FindJob(id))) {
        return "a gang is not whole and adjacent";
      }
    }
    for (const JobId id : state.waiting_jobs()) {
      if (!state.FindJob(id)->allocations.empty()) {
        return "a waiting job holds accelerators";
      }
    }
    for (std::uint32_t n = 0; n < state.workers().size(); ++n) {
      if (!AddsUp(state, WorkerId(n))) {
        return "a worker's accelerators do not add up";
      }
    }
    for (std::uint32_t n = 0; n < state.teams().size(); ++n) {
      if (state.teams()[n].held_accelerators != HeldBy(state, TeamId(n))) {
        return "a team's accelerators do not add up";
      }
    }
    return std::nullopt;
  }

 private:
  static std::uint32_t HeldBy(const ClusterState& state, TeamId team) {
    std::uint32_t held = 0;
    for (const JobId id : state.active_jobs()) {
      const JobEntry& job = *state.FindJob(id);
      held += job.team == team ? job.spec->shape().total_accelerators() : 0;
    }
    return held;
  }

  static bool IsCompleteGang(const ClusterState& state, const JobEntry& job) {
    const GangShape& shape = job.spec->shape();
    std::set<WorkerId> workers;
    std::set<std::uint32_t> domains;
    for (const Allocation& it : job.allocations) {
      workers.insert(it.worker());
      domains.insert(state.DomainOf(it.worker(), shape.adjacency()));
      if (it.accelerators() != shape.accelerators_per_worker()) {
        return false;
      }
    }
    return workers.size() == shape.workers() && job.allocations.size() == shape.workers() &&
           domains.size() == 1;
  }

  static bool AddsUp(const ClusterState& state, WorkerId worker) {
    const WorkerEntry& entry = state.worker(worker);
    std::uint32_t held = 0;
    std::size_t jobs = 0;
    for (const JobId id : state.active_jobs()) {
      for (const Allocation& it : state.FindJob(id)->allocations) {
        if (it.worker() == worker) {
          held += it.accelerators();
          ++jobs;
        }
      }
    }
    return held + entry.free_accelerators == entry.accelerators && jobs == entry.jobs.size();
  }
};

}  // namespace clementineloom::testing_support
