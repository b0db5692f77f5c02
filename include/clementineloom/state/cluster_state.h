#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "clementineloom/errors/result.h"
#include "clementineloom/model/config_revision.h"
#include "clementineloom/model/log_offset.h"
#include "clementineloom/state/apply_outcome.h"
#include "clementineloom/state/change_journal.h"
#include "clementineloom/state/data_centre_entry.h"
#include "clementineloom/state/job_entry.h"
#include "clementineloom/state/rack_entry.h"
#include "clementineloom/state/record.h"
#include "clementineloom/state/state_image.h"
#include "clementineloom/state/team_entry.h"
#include "clementineloom/state/worker_entry.h"

namespace clementineloom {

/// @brief The state that the records of the control stream lead to: teams, data centres, workers
/// and jobs.
///
/// Apply is the only function that changes it, and is deterministic: every replica that applies the
/// same records at the same offsets has the same state. A record that fails validation is
/// void on every replica.
///
/// Thread safety: none; one thread owns a state.
/// @code
/// ClusterState state;
/// ApplyOutcome outcome = state.Apply(LogOffset(1), record);
/// @endcode
class ClusterState {
 public:
  /// @brief Applies a record of the stream.
  /// Precondition: offset is greater than applied_offset().
  /// Errors: the code of the outcome; only applied_offset() and the list of record ids then change.
  ApplyOutcome Apply(LogOffset offset, const Record& record);

  /// @brief The content at the applied offset. Complexity: linear in all rows.
  [[nodiscard]] StateImage ToImage() const;

  /// @brief Rebuilds the state from an image.
  /// Errors: kSnapshotTorn (a row refers to one that the image does not have).
  [[nodiscard]] static Result<ClusterState> Restore(const StateImage& image);

  [[nodiscard]] LogOffset applied_offset() const { return applied_offset_; }
  [[nodiscard]] ConfigRevision config_revision() const { return config_revision_; }

  /// @brief Offset of the last change that can invalidate a guaranteed placement decided earlier.
  [[nodiscard]] LogOffset guarantee_epoch() const { return guarantee_epoch_; }

  [[nodiscard]] std::optional<TeamId> FindTeam(std::string_view name) const;
  [[nodiscard]] std::optional<DataCentreId> FindDataCentre(std::string_view name) const;
  [[nodiscard]] std::optional<WorkerId> FindWorker(std::string_view name) const;
  /// @brief The job, or nullptr if it is unknown or was removed after its end.
  [[nodiscard]] const JobEntry* FindJob(JobId job) const;
  /// @brief The job submitted under an idempotency key.
  [[nodiscard]] std::optional<JobId> FindJobByKey(std::string_view key) const;

  /// Precondition of the next four: the id comes from this state.
  [[nodiscard]] const TeamEntry& team(TeamId id) const { return teams_[id.value()]; }
  [[nodiscard]] const DataCentreEntry& data_centre(DataCentreId id) const {
    return data_centres_[id.value()];
  }
  [[nodiscard]] const RackEntry& rack(RackId id) const { return racks_[id.value()]; }
  [[nodiscard]] const WorkerEntry& worker(WorkerId id) const { return workers_[id.value()]; }

  /// @brief All teams by id, including deleted ones.
  [[nodiscard]] const std::vector<TeamEntry>& teams() const { return teams_; }
  [[nodiscard]] const std::vector<DataCentreEntry>& data_centres() const { return data_centres_; }
  [[nodiscard]] const std::vector<RackEntry>& racks() const { return racks_; }
  [[nodiscard]] const std::vector<WorkerEntry>& workers() const { return workers_; }

  /// @brief Ids of waiting jobs, oldest first.
  [[nodiscard]] const std::set<JobId>& waiting_jobs() const { return waiting_jobs_; }
  /// @brief Ids of jobs that hold accelerators (placed, running or stopping).
  [[nodiscard]] const std::set<JobId>& active_jobs() const { return active_jobs_; }
  [[nodiscard]] const std::unordered_map<JobId, JobEntry>& jobs() const { return jobs_; }

  /// @brief The latest changes, for indexes that follow this state.
  [[nodiscard]] const ChangeJournal& journal() const { return journal_; }

  /// @brief Whether new work may be placed on the worker.
  [[nodiscard]] bool IsPlaceable(WorkerId id) const;

  /// @brief Number of the worker, rack or data centre that holds the worker.
  [[nodiscard]] std::uint32_t DomainOf(WorkerId worker, Adjacency adjacency) const;
  /// @brief Number of the domain that a cell of this shape is bound to if it uses the worker.
  /// A cell of one worker is bound to that worker, whatever its adjacency: free parts on several
  /// workers could not hold the whole shape.
  [[nodiscard]] std::uint32_t CellDomainOf(WorkerId worker, const GangShape& guaranteed) const;

  /// @brief Checks a placement against the current state, without changing it.
  /// @param decided_at the last offset that the proposer had applied
  /// @return kOk, or why the placement is void
  [[nodiscard]] ResultCode ValidatePlacement(LogOffset decided_at,
                                             const Placement& placement) const;

 private:
  // Limits of the ended jobs and record ids that are kept so that a late retry finds the first
  // result. An ended job takes about 575 bytes: those of a day with 36,000 jobs would exceed the
  // scheduler's 32 MB; 10,000 cover the last 6 hours of such a day.
  static constexpr std::size_t kEndedJobsKept = 10'000;
  static constexpr std::size_t kRecordIdsKept = 65'536;

  ApplyOutcome ApplyBody(LogOffset offset, const WorkerRegistered& body);
  ApplyOutcome ApplyBody(LogOffset offset, const WorkerConditionChanged& body);
  ApplyOutcome ApplyBody(LogOffset offset, const ConfigChanged& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobSubmitted& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobsCancelled& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobsPlaced& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobStarted& body);
  ApplyOutcome ApplyBody(LogOffset offset, const StopRequested& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobStopped& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobFinished& body);
  ApplyOutcome ApplyBody(LogOffset offset, const JobRefused& body);

  [[nodiscard]] ResultCode CheckEdit(const SetTeam& edit) const;
  [[nodiscard]] ResultCode CheckEdit(const DeleteTeam& edit) const;
  [[nodiscard]] ResultCode CheckEdit(const SetDataCentre& edit) const;
  void ApplyEdit(const SetTeam& edit);
  void ApplyEdit(const DeleteTeam& edit);
  void ApplyEdit(const SetDataCentre& edit);

  [[nodiscard]] ResultCode ValidateGuarantee(LogOffset decided_at, const JobEntry& job,
                                             const Placement& placement) const;
  [[nodiscard]] ResultCode ValidateWorkers(const GangShape& shape,
                                           const Placement& placement) const;
  JobEntry* FindActive(JobId job, std::uint32_t attempt);
  [[nodiscard]] std::optional<WorkerId> FindReusableWorkerId(RackId rack) const;
  RackId FindOrAddRack(const std::string& name, DataCentreId data_centre);
  void Allocate(LogOffset offset, JobEntry& job, const Placement& placement);
  void Release(JobId id, JobEntry& job);
  void ReleaseCell(const JobEntry& job);
  void End(JobId id, JobEntry& job, JobOutcome outcome);
  bool AddRecordId(const std::string& id);
  [[nodiscard]] bool HasAllReferences() const;
  void RebuildIndexes();

  LogOffset applied_offset_;
  ConfigRevision config_revision_;
  LogOffset guarantee_epoch_;

  std::vector<TeamEntry> teams_;
  std::vector<DataCentreEntry> data_centres_;
  std::vector<RackEntry> racks_;
  std::vector<WorkerEntry> workers_;
  std::map<std::string, TeamId, std::less<>> team_names_;
  std::map<std::string, DataCentreId, std::less<>> data_centre_names_;
  std::map<std::string, WorkerId, std::less<>> worker_names_;
  std::map<std::string, RackId, std::less<>> rack_names_;

  std::unordered_map<JobId, JobEntry> jobs_;
  std::map<std::string, JobId, std::less<>> job_keys_;
  std::set<JobId> waiting_jobs_;
  std::set<JobId> active_jobs_;
  std::deque<JobId> ended_jobs_;

  ChangeJournal journal_;
  std::unordered_set<std::uint64_t> record_id_hashes_;
  std::deque<std::uint64_t> record_id_order_;
};

}  // namespace clementineloom
