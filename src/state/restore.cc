#include <algorithm>
#include <string>
#include <utility>

#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

StateImage ClusterState::ToImage() const {
  StateImage::Fields fields{.applied_offset = applied_offset_,
                            .config_revision = config_revision_,
                            .guarantee_epoch = guarantee_epoch_,
                            .teams = teams_,
                            .data_centres = data_centres_,
                            .racks = racks_,
                            .workers = workers_,
                            .jobs = {jobs_.begin(), jobs_.end()},
                            .ended_jobs = {ended_jobs_.begin(), ended_jobs_.end()},
                            .record_ids = {record_id_order_.begin(), record_id_order_.end()}};
  std::ranges::sort(fields.jobs, {}, &std::pair<JobId, JobEntry>::first);
  return StateImage(std::move(fields));
}

Result<ClusterState> ClusterState::Restore(const StateImage& image) {
  const StateImage::Fields& fields = image.fields();
  ClusterState state;
  state.applied_offset_ = fields.applied_offset;
  state.config_revision_ = fields.config_revision;
  state.guarantee_epoch_ = fields.guarantee_epoch;
  state.teams_ = fields.teams;
  state.data_centres_ = fields.data_centres;
  state.racks_ = fields.racks;
  state.workers_ = fields.workers;
  state.jobs_.insert(fields.jobs.begin(), fields.jobs.end());
  state.ended_jobs_.assign(fields.ended_jobs.begin(), fields.ended_jobs.end());
  state.record_id_order_.assign(fields.record_ids.begin(), fields.record_ids.end());
  state.record_id_hashes_.insert(fields.record_ids.begin(), fields.record_ids.end());
  if (!state.HasAllReferences()) {
    return Refuse(ResultCode::kSnapshotTorn, "a row refers to a missing row");
  }
  state.RebuildIndexes();
  return state;
}

bool ClusterState::HasAllReferences() const {
  const auto has_worker = [this](WorkerId it) { return it.value() < workers_.size(); };
  const auto has_rack = [this](RackId it) { return it.value() < racks_.size(); };
  const auto has_data_centre = [this](DataCentreId it) {
    return it.value() < data_centres_.size();
  };
  const auto is_complete_job = [&](const auto& row) {
    const JobEntry& job = row.second;
    const auto has_its_worker = [&](const Allocation& it) { return has_worker(it.worker()); };
    return job.team.value() < teams_.size() &&
           std::ranges::all_of(job.allocations, has_its_worker) &&
           std::ranges::all_of(job.failed_on, has_worker);
  };
  const auto is_complete_worker = [&](const WorkerEntry& it) {
    return has_rack(it.rack) && has_data_centre(it.data_centre);
  };
  const auto is_complete_rack = [&](const RackEntry& it) {
    return has_data_centre(it.data_centre) && std::ranges::all_of(it.workers, has_worker);
  };
  const auto is_complete_data_centre = [&](const DataCentreEntry& it) {
    return std::ranges::all_of(it.racks, has_rack);
  };
  const auto has_job = [this](JobId it) { return jobs_.contains(it); };
  return std::ranges::all_of(jobs_, is_complete_job) &&
         std::ranges::all_of(workers_, is_complete_worker) &&
         std::ranges::all_of(racks_, is_complete_rack) &&
         std::ranges::all_of(data_centres_, is_complete_data_centre) &&
         std::ranges::all_of(ended_jobs_, has_job);
}

void ClusterState::RebuildIndexes() {
  for (TeamEntry& it : teams_) {
    it.held_accelerators = 0;
  }
  for (std::size_t n = 0; n < teams_.size(); ++n) {
    if (!teams_[n].deleted) {
      team_names_.emplace(teams_[n].team.name(), TeamId(static_cast<TeamId::rep>(n)));
    }
  }
  for (std::size_t n = 0; n < data_centres_.size(); ++n) {
    data_centre_names_.emplace(data_centres_[n].data_centre.name(),
                               DataCentreId(static_cast<DataCentreId::rep>(n)));
  }
  for (std::size_t n = 0; n < racks_.size(); ++n) {
    const DataCentreEntry& data_centre = data_centres_[racks_[n].data_centre.value()];
    rack_names_.emplace(data_centre.data_centre.name() + "/" + racks_[n].name,
                        RackId(static_cast<RackId::rep>(n)));
  }
  for (std::size_t n = 0; n < workers_.size(); ++n) {
    worker_names_.emplace(workers_[n].name, WorkerId(static_cast<WorkerId::rep>(n)));
  }
  for (const auto& [id, job] : jobs_) {
    job_keys_.emplace(job.key, id);
    if (job.phase == JobPhase::kWaiting) {
      waiting_jobs_.insert(id);
    } else if (job.phase != JobPhase::kEnded) {
      active_jobs_.insert(id);
      teams_[job.team.value()].held_accelerators += job.spec->shape().total_accelerators();
    }
  }
}

}  // namespace clementineloom
