#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "gateway/caller_request.h"
#include "gateway/responder.h"
#include "rpc/rpc_client.h"

namespace clementineloom::gateway {

/// @brief Forwards job requests to the scheduler of the instance and answers them.
///
/// Several duties may share a ring, each with its own connection. Calls are never retried; a
/// refusal says whether the call did not run or may have run. Thread safety: Run is called on the
/// duty's thread; requests reach it through the ring.
class JobsDuty {
 public:
  /// @param process unique to this process; prefix of the idempotency keys that are generated for
  /// submissions without one
  /// Precondition: the ring outlives the duty.
  JobsDuty(BoundedRing<CallerRequest>& requests, Responder responder, std::string scheduler,
           std::string process, std::chrono::milliseconds timeout)
      : requests_(requests),
        responder_(responder),
        scheduler_(std::move(scheduler)),
        process_(std::move(process)),
        timeout_(timeout) {}

  /// @brief Answers until the ring is closed and drained.
  void Run();

 private:
  [[nodiscard]] Result<net::HttpResponse> Answer(const CallerRequest& request);

  BoundedRing<CallerRequest>& requests_;
  Responder responder_;
  rpc::RpcClient scheduler_;
  const std::string process_;
  const std::chrono::milliseconds timeout_;
};

}  // namespace clementineloom::gateway
