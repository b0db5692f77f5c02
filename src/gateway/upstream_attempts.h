#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <unordered_map>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/model/worker_id.h"
#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/outstanding_requests.h"
#include "clementineloom/routing/team_loads.h"
#include "clementineloom/routing/upstream.h"
#include "gateway/caller_request.h"
#include "gateway/routing_options.h"
#include "net/call_id.h"
#include "net/client_result.h"
#include "net/http_client.h"

namespace clementineloom::gateway {

/// @brief Sends requests to upstreams, and keeps the loads of upstreams and teams.
///
/// Thread safety: none; one thread owns the attempts.
class UpstreamAttempts {
 public:
  /// Precondition: the references outlive the attempts.
  UpstreamAttempts(net::HttpClient& upstreams, const RoutingOptions& options,
                   OutstandingRequests& outstanding, TeamLoads& teams)
      : upstreams_(upstreams), options_(options), outstanding_(outstanding), teams_(teams) {}

  /// @brief Sends a request to an upstream; takes it only if it was sent.
  /// @return false if the ring of upstream calls is full
  [[nodiscard]] bool Send(CallerRequest& request, const Upstream& upstream, MonotonicTime now);

  /// @brief Ends the attempt of a result. Precondition: Send made its call, which has not ended.
  /// @param refusal why the attempt failed, or nullopt
  /// @return the request, which notes a failed attempt
  [[nodiscard]] CallerRequest End(const net::CallId& call, const std::optional<Refusal>& refusal);

 private:
  struct InProgress {
    CallerRequest request;
    WorkerId worker;
  };

  // A non-idempotent request does not use a pooled connection that was idle for longer: the
  // connection may have gone dead, and the request could not be retried.
  static constexpr std::chrono::milliseconds kMaxIdleNonIdempotent{1'000};

  [[nodiscard]] std::chrono::milliseconds TimeoutOf(const CallerRequest& request,
                                                    MonotonicTime now) const;
  void NoteHealth(WorkerId worker, const std::optional<Refusal>& refusal);

  net::HttpClient& upstreams_;
  const RoutingOptions& options_;
  OutstandingRequests& outstanding_;
  TeamLoads& teams_;
  std::unordered_map<net::CallId, InProgress> in_progress_;
  std::uint64_t last_call_ = 0;
};

}  // namespace clementineloom::gateway
