#pragma once

#include <cstdint>
#include <utility>
#include <vector>

#include "clementineloom/model/config_revision.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/log_offset.h"
#include "clementineloom/state/data_centre_entry.h"
#include "clementineloom/state/job_entry.h"
#include "clementineloom/state/rack_entry.h"
#include "clementineloom/state/team_entry.h"
#include "clementineloom/state/worker_entry.h"

namespace clementineloom {

/// @brief The whole content of a ClusterState at one offset, for snapshots. An immutable value.
///
/// Indexes that can be rebuilt from the rows are left out. The ids of the latest records are
/// included, so that a replica that starts from a snapshot still ignores a repeated record.
class StateImage {
 public:
  struct Fields {
    LogOffset applied_offset;
    ConfigRevision config_revision;
    LogOffset guarantee_epoch;
    std::vector<TeamEntry> teams;
    std::vector<DataCentreEntry> data_centres;
    std::vector<RackEntry> racks;
    std::vector<WorkerEntry> workers;
    /// In ascending order of their ids.
    std::vector<std::pair<JobId, JobEntry>> jobs;
    /// In the order in which they ended.
    std::vector<JobId> ended_jobs;
    /// Hashes of record ids (RecordIdHash) in the order of their offsets.
    std::vector<std::uint64_t> record_ids;
  };

  explicit StateImage(Fields fields) : fields_(std::move(fields)) {}

  [[nodiscard]] const Fields& fields() const { return fields_; }
  [[nodiscard]] LogOffset applied_offset() const { return fields_.applied_offset; }
  [[nodiscard]] ConfigRevision config_revision() const { return fields_.config_revision; }

  /// Images of the same offset of one stream are equal, so comparing the offsets is enough.
  friend auto operator<=>(const StateImage& a, const StateImage& b) {
    return std::pair(a.applied_offset(), a.config_revision()) <=>
           std::pair(b.applied_offset(), b.config_revision());
  }
  friend bool operator==(const StateImage& a, const StateImage& b) { return (a <=> b) == 0; }

 private:
  Fields fields_;
};

}  // namespace clementineloom
