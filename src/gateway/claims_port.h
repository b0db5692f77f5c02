#pragma once

#include <utility>
#include <variant>

#include "clementineloom/concurrency/bounded_ring.h"
#include "gateway/claims_event.h"
#include "gateway/metric_names.h"
#include "metrics/metric_registry.h"

namespace clementineloom::gateway {

/// @brief The routing duty's end of the ring into the claims duty. It never waits, because the
/// claims duty waits for the routing duty.
///
/// Thread safety: as that of the ring.
class ClaimsPort {
 public:
  /// @param events nullptr in a gateway without claims; then no request is claimed
  ClaimsPort(BoundedRing<ClaimsEvent>* events, metrics::MetricRegistry& metrics)
      : events_(events), metrics_(&metrics) {}

  /// @brief Whether the request runs only under a claim.
  [[nodiscard]] bool NeedsClaim(const CallerRequest& request) const {
    return events_ != nullptr && !request.is_idempotent &&
           !request.request.headers.Find("Idempotency-Key").empty();
  }

  /// @brief Hands the request to the claims duty. @return false if the ring is full.
  [[nodiscard]] bool Claim(CallerRequest request) { return events_->TryPush(std::move(request)); }

  /// @brief Reports the outcome of a claimed request. A report that finds the ring full is lost;
  /// a repetition is then told that the outcome is unknown, which is true.
  void End(const ClaimTicket& ticket, std::variant<net::HttpResponse, Refusal> outcome) {
    if (!events_->TryPush(ClaimEnded{ticket, std::move(outcome)})) {
      metrics_->Count(kClaimRecordsLost);
    }
  }

 private:
  BoundedRing<ClaimsEvent>* events_;
  metrics::MetricRegistry* metrics_;
};

}  // namespace clementineloom::gateway
