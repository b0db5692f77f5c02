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

/// @brief Distinguishes faulty workers from faulty jobs, and returns quarantined workers to use
/// after a probe.
///
/// A failed attempt counts against the worker if the job later runs or succeeds on another one. A
/// job that failed on several workers and neither runs nor has succeeded is considered faulty
/// itself and does not count. Jobs not yet tried elsewhere count once for each team and job class,
/// so that a burst of equal faulty jobs does not quarantine a worker. Thread safety: none.
class Quarantine {
 public:
  explicit Quarantine(const DecisionOptions& options) : options_(options) {}

  void ObserveJob(const ClusterState& state, JobId job);
  void ObserveWorker(const ClusterState& state, WorkerId worker, Instant now);
  /// @brief The changes of worker condition that are due.
  [[nodiscard]] std::vector<WorkerConditionChanged> Decide(const ClusterState& state, Instant now);
  /// @brief Workers on probation that already have a job. They may hold one job at a time until a
  /// job ended without a failure.
  [[nodiscard]] std::vector<WorkerId> ProbationWithJob(const ClusterState& state) const;
  void Clear();

 private:
  [[nodiscard]] std::size_t EvidenceAgainst(const ClusterState& state, WorkerId worker) const;
  [[nodiscard]] bool MayQuarantineMore(const ClusterState& state) const;
  [[nodiscard]] Duration QuarantineTimeOf(WorkerId worker) const;

  DecisionOptions options_;
  /// Jobs that failed on a worker since a job last ended there without a failure.
  std::map<WorkerId, std::set<JobId>> failed_jobs_;
  /// How many entries of a job's failed_on list were counted.
  std::map<JobId, std::size_t> seen_failures_;
  std::map<WorkerId, Instant> quarantined_since_;
  std::map<WorkerId, detail::Probation> probations_;
  std::set<WorkerId> suspects_;
};

}  // namespace clementineloom
