#include <algorithm>

#include "clementineloom/state/cluster_state.h"

namespace clementineloom {
namespace {

// Whether all cells in use still exist after the edit: a change of shape or count must not remove
// them.
bool KeepsUsedCells(const TeamEntry& entry, const Team& team) {
  for (std::size_t n = 0; n < entry.cells.size(); ++n) {
    const auto is_used = [](const CellUse& it) { return it.units > 0; };
    const auto& cells = entry.cells[n];
    if (std::ranges::none_of(cells, is_used)) {
      continue;
    }
    if (n >= team.guarantees().size() ||
        team.guarantees()[n].shape() != entry.team.guarantees()[n].shape()) {
      return false;
    }
    const std::size_t kept = std::min<std::size_t>(team.guarantees()[n].count(), cells.size());
    if (std::any_of(cells.begin() + static_cast<std::ptrdiff_t>(kept), cells.end(), is_used)) {
      return false;
    }
  }
  return true;
}

}  // namespace

ApplyOutcome ClusterState::ApplyBody(LogOffset offset, const ConfigChanged& body) {
  if (body.base_revision != config_revision_) {
    return ApplyOutcome(ResultCode::kRevisionConflict);
  }
  for (const ConfigEdit& edit : body.edits) {
    const ResultCode code = std::visit([&](const auto& it) { return CheckEdit(it); }, edit);
    if (code != ResultCode::kOk) {
      return ApplyOutcome(code);
    }
  }
  for (const ConfigEdit& edit : body.edits) {
    std::visit([&](const auto& it) { ApplyEdit(it); }, edit);
  }
  config_revision_ = ConfigRevision(config_revision_.value() + 1);
  journal_.Add(config_revision_);
  guarantee_epoch_ = offset;
  return ApplyOutcome(ResultCode::kOk);
}

ResultCode ClusterState::CheckEdit(const SetTeam& edit) const {
  const auto id = FindTeam(edit.team.name());
  if (id && !KeepsUsedCells(team(*id), edit.team)) {
    return ResultCode::kTeamInUse;
  }
  return ResultCode::kOk;
}

ResultCode ClusterState::CheckEdit(const DeleteTeam& edit) const {
  const auto id = FindTeam(edit.team);
  if (!id) {
    return ResultCode::kUnknownTeam;
  }
  return team(*id).active_jobs > 0 ? ResultCode::kTeamInUse : ResultCode::kOk;
}

ResultCode ClusterState::CheckEdit(const SetDataCentre& edit) const {
  // The region cannot change, because the workers are bound to the control stream of that region.
  const auto id = FindDataCentre(edit.data_centre.name());
  const bool moves = id && data_centre(*id).data_centre.region() != edit.data_centre.region();
  return moves ? ResultCode::kInvalidValue : ResultCode::kOk;
}

void ClusterState::ApplyEdit(const SetTeam& edit) {
  const TeamId next(static_cast<std::uint32_t>(teams_.size()));
  const auto [it, inserted] = team_names_.emplace(edit.team.name(), next);
  if (inserted) {
    teams_.push_back(TeamEntry{.team = edit.team,
                               .deleted = false,
                               .active_jobs = 0,
                               .held_accelerators = 0,
                               .cells = {}});
  }
  TeamEntry& entry = teams_[it->second.value()];
  entry.team = edit.team;
  entry.cells.resize(edit.team.guarantees().size());
  for (std::size_t n = 0; n < entry.cells.size(); ++n) {
    entry.cells[n].resize(edit.team.guarantees()[n].count());
  }
}

void ClusterState::ApplyEdit(const DeleteTeam& edit) {
  const auto it = team_names_.find(edit.team);
  if (it == team_names_.end()) {
    // Two edits of one record may delete the same team; the second has no effect.
    return;
  }
  TeamEntry& entry = teams_[it->second.value()];
  entry.deleted = true;
  entry.cells.clear();
  team_names_.erase(it);
}

void ClusterState::ApplyEdit(const SetDataCentre& edit) {
  const DataCentreId next(static_cast<std::uint16_t>(data_centres_.size()));
  const auto [it, inserted] = data_centre_names_.emplace(edit.data_centre.name(), next);
  if (inserted) {
    data_centres_.push_back(DataCentreEntry{.data_centre = edit.data_centre, .racks = {}});
  } else {
    data_centres_[it->second.value()].data_centre = edit.data_centre;
  }
}

}  // namespace clementineloom
