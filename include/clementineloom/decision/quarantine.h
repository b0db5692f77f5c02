#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "clementineloom/decision/decision_options.h"
#include "clementineloom/decision/detail/probation.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/records/worker_condition_changed.h"

namespace clementineloom {

/// @brief Tells bad workers from bad jobs, and brings quarantined workers back by probes.
///
/// A failed attempt speaks against the worker when the job runs or succeeds elsewhere afterwards.
/// A job that failed on several workers speaks against itself. Jobs not tried elsewhere yet count
/// once for each team and job class, so that a burst of equal bad jobs takes no worker away.
/// Thread safety: none.
class Quarantine {
 public:
  explicit Quarantine(const DecisionOptions& options) : options_(options) {}

  void ObserveJob(const ClusterState& state, JobId job);
  void ObserveWorker(const ClusterState& state, WorkerId worker, Instant now);
  /// @brief Changes of condition that are due.
  [[nodiscard]] std::vector<WorkerConditionChanged> Decide(const ClusterState& state, Instant now);
  /// @brief Workers that may hold one job at a time, until it ended well.
  [[nodiscard]] std::vector<WorkerId> ProbationWithJob(const ClusterState& state) const;
  void Clear();

 private:
  [[nodiscard]] std::size_t EvidenceAgainst(const ClusterState& state, WorkerId worker) const;
  [[nodiscard]] bool HasRoomForMore(const ClusterState& state) const;
  [[nodiscard]] Duration TimeFor(WorkerId worker) const;

  DecisionOptions options_;
  /// Jobs that failed on a worker since it last finished one.
  std::map<WorkerId, std::set<JobId>> failed_jobs_;
  /// How many of a job's failed workers were seen.
  std::map<JobId, std::size_t> seen_;
  std::map<WorkerId, Instant> quarantined_since_;
  std::map<WorkerId, detail::Probation> probations_;
  std::set<WorkerId> suspects_;
};

}  // namespace clementineloom
