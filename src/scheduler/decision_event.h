#pragma once

#include <memory>
#include <variant>

#include "platform/followed_batch.h"
#include "platform/instance_list.h"
#include "scheduler/operator/operator_call.h"
#include "scheduler/peer_freshness.h"
#include "scheduler/proposal_dropped.h"
#include "scheduler/start_draining.h"

namespace clementineloom::scheduler {

/// @brief What the decision duty reacts to.
using DecisionEvent =
    std::variant<platform::FollowedBatch, std::shared_ptr<const platform::InstanceList>,
                 OperatorCall, ProposalDropped, PeerFreshness, StartDraining>;

}  // namespace clementineloom::scheduler
