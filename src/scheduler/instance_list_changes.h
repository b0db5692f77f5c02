#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "clementineloom/membership/membership_view.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"
#include "platform/instance_list.h"

namespace clementineloom::scheduler {

/// @brief The records by which the state of workers comes to agree with the instance list.
///
/// A worker that no list seen by this process ever named is not lost yet: the list lags. Workers
/// of unknown data centres wait until operators configure these.
/// @param ever_listed names of workers that a list named since the process started
/// Complexity: linear in workers and instances.
[[nodiscard]] std::vector<RecordBody> InstanceListChanges(
    const ClusterState& state, const platform::InstanceList& list,
    const std::unordered_set<std::string>& ever_listed);

/// @brief The live schedulers of a list.
[[nodiscard]] MembershipView SchedulersOf(const platform::InstanceList& list);

}  // namespace clementineloom::scheduler
