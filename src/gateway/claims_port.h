#pragma once

#include <utility>
#include <variant>

#include "clementineloom/concurrency/bounded_ring.h"
#include "gateway/claims_event.h"
#include "gateway/metric_names.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief Sends events from the routing duty to the claims duty.
///
/// It never blocks: the claims duty blocks on the ring into the routing duty, so that blocking here
/// too could deadlock both. Thread safety: that of the ring.
class ClaimsPort {
 public:
  /// @param events ring into the claims duty; nullptr if the gateway claims no requests
  ClaimsPort(BoundedRing<ClaimsEvent>* events, metrics::MetricRegistry& metrics)
      : events_(events), metrics_(&metrics) {}

  /// @brief Whether the request may run only after it is claimed.
  [[nodiscard]] bool NeedsClaim(const CallerRequest& request) const {
    return events_ != nullptr && !request.is_idempotent &&
           !request.request.headers.Find("Idempotency-Key").empty();
  }

  /// @brief Sends the request to the claims duty. @return false if the ring is full.
  /// Precondition: NeedsClaim(request).
  [[nodiscard]] bool TryClaim(CallerRequest request) {
    return events_->TryPush(std::move(request));
  }

  /// @brief Reports the outcome of a claimed request. The report is dropped and counted if the ring
  /// is full; a duplicate of the request is then correctly told that the outcome is unknown.
  void ReportOutcome(const ClaimHandle& handle, std::variant<net::HttpResponse, Refusal> outcome) {
    if (!events_->TryPush(ClaimEnded{handle, std::move(outcome)})) {
      metrics_->Count(kClaimRecordsLost);
    }
  }

 private:
  BoundedRing<ClaimsEvent>* events_;
  metrics::MetricRegistry* metrics_;
};

}  // namespace clementineloom::gateway
