#include "clementineloom/state/cluster_state.h"

#include <cassert>
#include <variant>

#include "clementineloom/state/record_id_hash.h"

namespace clementineloom {
namespace {

template <class Map>
std::optional<typename Map::mapped_type> Find(const Map& map, std::string_view name) {
  const auto it = map.find(name);
  return it == map.end() ? std::nullopt : std::optional(it->second);
}

}  // namespace

ApplyOutcome ClusterState::Apply(LogOffset offset, const Record& record) {
  assert(offset > applied_offset_);
  applied_offset_ = offset;
  if (!AddRecordId(record.id)) {
    return ApplyOutcome(ResultCode::kDuplicateRecord);
  }
  return std::visit([&](const auto& body) { return ApplyBody(offset, body); }, record.body);
}

std::optional<TeamId> ClusterState::FindTeam(std::string_view name) const {
  return Find(team_names_, name);
}

std::optional<DataCentreId> ClusterState::FindDataCentre(std::string_view name) const {
  return Find(data_centre_names_, name);
}

std::optional<WorkerId> ClusterState::FindWorker(std::string_view name) const {
  return Find(worker_names_, name);
}

const JobEntry* ClusterState::FindJob(JobId job) const {
  const auto it = jobs_.find(job);
  return it == jobs_.end() ? nullptr : &it->second;
}

std::optional<JobId> ClusterState::FindJobByKey(std::string_view key) const {
  return Find(job_keys_, key);
}

bool ClusterState::IsPlaceable(WorkerId id) const {
  const WorkerEntry& entry = worker(id);
  return entry.condition == WorkerCondition::kLive &&
         data_centre(entry.data_centre).data_centre.in_service();
}

bool ClusterState::AddRecordId(const std::string& id) {
  const std::uint64_t hash = RecordIdHash(id);
  if (!record_id_hashes_.insert(hash).second) {
    return false;
  }
  record_id_order_.push_back(hash);
  if (record_id_order_.size() > kRecordIdsKept) {
    record_id_hashes_.erase(record_id_order_.front());
    record_id_order_.pop_front();
  }
  return true;
}

}  // namespace clementineloom
