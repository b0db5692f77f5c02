#pragma once

#include <optional>
#include <set>
#include <string>

#include "clementineloom/state/cell_units.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::testing_support {

/// @brief Checks what holds in every accepted state. Returns the first violation.
class StateInvariants {
 public:
  [[nodiscard]] static std::optional<std::string> Violation(const ClusterState& state) {
    for (const JobId id : state.active_jobs()) {
      if (state.waiting_jobs().contains(id)) {
        return "a job waits and holds accelerators";
      }
      if (!IsWholeGang(state, *state.FindJob(id))) {
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
    return std::nullopt;
  }

 private:
  static bool IsWholeGang(const ClusterState& state, const JobEntry& job) {
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
