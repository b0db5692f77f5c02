#pragma once

#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/decision/plan.h"
#include "clementineloom/decision/plan_forecast.h"
#include "clementineloom/errors/result.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"
#include "clementineloom/state/records/config_edit.h"
#include "clementineloom/state/stop_reason.h"

namespace clementineloom {

/// @brief A copy of a state to which configuration edits, and the decisions that follow from them,
/// are applied.
///
/// Stops are acknowledged at once, so that the plan covers a whole move: the stop and the new
/// placement. Thread safety: none.
class PlanDryRun {
 public:
  /// @brief Copies the state and applies the edits to the copy.
  /// Errors: those of ConfigChanged, for example kUnknownTeam and kTeamInUse.
  [[nodiscard]] static Result<PlanDryRun> Create(const ClusterState& original,
                                                 std::vector<ConfigEdit> edits);

  /// @brief Applies records that the engine decided for state().
  /// @return whether the engine should decide again: a record had an effect, and the limit of
  /// records is not reached
  bool Append(std::vector<RecordBody> records);

  /// @brief The copy with all records applied so far.
  [[nodiscard]] const ClusterState& state() const { return copy_; }

  /// @brief Compares the copy with the original.
  /// @param original the state that Create was given, unchanged since
  /// @param forecast what the engine reports for state(); completions only for waiting jobs,
  /// because the progress of running ones is not known here
  [[nodiscard]] Plan ToPlan(const ClusterState& original, const PlanForecast& forecast) const;

 private:
  // Ends a dry run in which the engine stops and places the same jobs alternately. A plan for the
  // largest cluster moves at most its 110,000 running tasks, with three records each.
  static constexpr std::size_t kMaxRecords = 330'000;

  PlanDryRun(const ClusterState& original, std::vector<ConfigEdit> edits);

  ApplyOutcome Apply(RecordBody body);
  bool ApplyDecided(RecordBody body);
  void AcknowledgeStops();
  [[nodiscard]] std::optional<PlanStep> StepFor(JobId job, const JobEntry& before,
                                                const PlanForecast& forecast) const;
  [[nodiscard]] std::string WaitReason(JobId job, const JobEntry& before) const;
  [[nodiscard]] std::string PlaceReason(JobId job, PlanAction action, CapacityKind kind) const;
  [[nodiscard]] StopReason stop_reason(JobId job) const;

  ClusterState copy_;
  ConfigRevision base_revision_;
  std::vector<ConfigEdit> edits_;
  // The reason of the last stop of each job.
  std::map<JobId, StopReason> stopped_;
  std::size_t records_ = 0;
};

}  // namespace clementineloom
