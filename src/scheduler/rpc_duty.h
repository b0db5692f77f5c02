#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/errors/result.h"
#include "metrics/metric_registry.h"
#include "rpc/rpc_call.h"
#include "scheduler/decision_event.h"

namespace clementineloom::scheduler {

/// @brief Passes RPC calls to the decision duty and waits for the answers.
///
/// Thread safety: Handle may be called from several threads at the same time.
class RpcDuty {
 public:
  /// @param timeout of a call, after which a change may or may not have taken effect
  RpcDuty(BoundedRing<DecisionEvent>& decisions, std::chrono::milliseconds timeout,
          metrics::MetricRegistry& metrics)
      : decisions_(decisions), timeout_(timeout), metrics_(metrics) {}

  /// @brief The answer to a call. Errors: kQueueFull, kAppendUnknown, and those of the request.
  [[nodiscard]] Result<boost::json::value> Handle(const rpc::RpcCall& call) const;

  /// @brief The methods that can be called.
  [[nodiscard]] static std::vector<std::string> Methods();

 private:
  BoundedRing<DecisionEvent>& decisions_;
  const std::chrono::milliseconds timeout_;
  metrics::MetricRegistry& metrics_;
};

}  // namespace clementineloom::scheduler
