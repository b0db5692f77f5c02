#pragma once

#include <memory>
#include <variant>

#include "clementineloom/membership/membership_view.h"
#include "platform/worker_result.h"
#include "scheduler/attempt.h"
#include "scheduler/attempt_ended.h"
#include "scheduler/start_draining.h"
#include "scheduler/view_freshness.h"

namespace clementineloom::scheduler {

/// @brief What the task driver reacts to.
using DriverEvent =
    std::variant<std::shared_ptr<const Attempt>, AttemptEnded, ViewFreshness,
                 std::shared_ptr<const MembershipView>, platform::WorkerResult, StartDraining>;

}  // namespace clementineloom::scheduler
