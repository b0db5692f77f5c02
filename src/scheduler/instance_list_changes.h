#pragma once

#include <string>
#include <unordered_set>
#include <vector>

#include "clementineloom/membership/membership_view.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/record_body.h"
#include "platform/instance_list.h"

namespace clementineloom::scheduler {

/// @brief The records that bring the workers of the state into line with the instance list.
///
/// A worker that was on no list since the process started is not marked lost, because the list may
/// lag. Workers of unknown data centres are registered once operators have configured these.
/// @param ever_listed names of workers that were on a list since the process started
/// Complexity: linear in workers and instances.
[[nodiscard]] std::vector<RecordBody> InstanceListChanges(
    const ClusterState& state, const platform::InstanceList& list,
    const std::unordered_set<std::string>& ever_listed);

/// @brief The live schedulers of a list.
[[nodiscard]] MembershipView SchedulersOf(const platform::InstanceList& list);

}  // namespace clementineloom::scheduler
