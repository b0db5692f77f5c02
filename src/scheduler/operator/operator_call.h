#pragma once

#include <memory>

#include "clementineloom/concurrency/bounded_ring.h"
#include "scheduler/monotonic_time.h"
#include "scheduler/operator/operator_answer.h"
#include "scheduler/operator/operator_request.h"

namespace clementineloom::scheduler {

/// @brief Holds the single answer of a call; shared, because the caller may stop waiting for it.
using ReplyRing = BoundedRing<OperatorAnswer>;

/// @brief An operator request on its way to the decision duty.
struct OperatorCall {
  OperatorRequest request;
  /// When the caller stops waiting.
  MonotonicTime deadline;
  std::shared_ptr<ReplyRing> reply;
};

}  // namespace clementineloom::scheduler
