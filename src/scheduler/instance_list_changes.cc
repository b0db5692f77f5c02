#include "scheduler/instance_list_changes.h"

#include <optional>
#include <string_view>
#include <unordered_set>
#include <utility>

namespace clementineloom::scheduler {
namespace {

using platform::Instance;
using platform::InstanceRole;
using platform::InstanceState;

std::optional<RecordBody> MakeRegistration(const Instance& instance) {
  std::optional<RecordBody> body;
  const auto refusal = RefusalOf([&]() -> Result<void> {
    BOOST_LEAF_AUTO(worker, Worker::Create({.name = instance.name,
                                            .address = instance.address,
                                            .data_centre = instance.data_centre,
                                            .rack = instance.rack,
                                            .accelerators = instance.accelerators,
                                            .slots = instance.slots,
                                            .connections = instance.connections}));
    body.emplace(WorkerRegistered{std::move(worker)});
    return {};
  });
  // A worker whose entry is invalid cannot be used.
  return refusal ? std::nullopt : std::move(body);
}

RecordBody MakeConditionChange(const std::string& worker, WorkerCondition condition,
                               const std::string& reason) {
  return WorkerConditionChanged{worker, condition, reason};
}

std::optional<RecordBody> ChangeForKnownWorker(const WorkerEntry& entry, const Instance& instance) {
  const bool is_leaving = instance.state == InstanceState::kLeaving;
  if (entry.condition == WorkerCondition::kLost) {
    // The name can be reused once the attempts on the lost instance are released.
    return entry.jobs.empty() && !is_leaving ? MakeRegistration(instance) : std::nullopt;
  }
  if (entry.address != instance.address) {
    return MakeConditionChange(entry.name, WorkerCondition::kLost, "replaced by another instance");
  }
  if (is_leaving && entry.condition != WorkerCondition::kLeaving) {
    return MakeConditionChange(entry.name, WorkerCondition::kLeaving, "instance list");
  }
  if (!is_leaving && entry.condition == WorkerCondition::kLeaving) {
    return MakeConditionChange(entry.name, WorkerCondition::kLive, "instance list");
  }
  return std::nullopt;
}

std::optional<RecordBody> ChangeFor(const ClusterState& state, const Instance& instance) {
  if (const auto id = state.FindWorker(instance.name)) {
    return ChangeForKnownWorker(state.worker(*id), instance);
  }
  const bool is_usable = instance.state == InstanceState::kLive &&
                         state.FindDataCentre(instance.data_centre).has_value();
  return is_usable ? MakeRegistration(instance) : std::nullopt;
}

}  // namespace

std::vector<RecordBody> InstanceListChanges(const ClusterState& state,
                                            const platform::InstanceList& list,
                                            const std::unordered_set<std::string>& ever_listed) {
  std::vector<RecordBody> changes;
  std::unordered_set<std::string_view> listed;
  for (const Instance& it : list.instances) {
    if (it.role != InstanceRole::kWorker) {
      continue;
    }
    listed.insert(it.name);
    if (auto change = ChangeFor(state, it)) {
      changes.push_back(std::move(*change));
    }
  }
  for (const WorkerEntry& it : state.workers()) {
    const bool is_gone = !listed.contains(it.name) && ever_listed.contains(it.name);
    if (is_gone && it.condition != WorkerCondition::kLost) {
      changes.push_back(
          MakeConditionChange(it.name, WorkerCondition::kLost, "gone from the instance list"));
    }
  }
  return changes;
}

MembershipView SchedulersOf(const platform::InstanceList& list) {
  std::vector<SchedulerPeer> schedulers;
  for (const Instance& it : list.instances) {
    const bool is_live = it.state == InstanceState::kLive;
    if (it.role == InstanceRole::kEntry && is_live && !it.rpc.empty()) {
      schedulers.push_back({it.name, it.rpc});
    }
  }
  return MembershipView(list.version, std::move(schedulers));
}

}  // namespace clementineloom::scheduler
