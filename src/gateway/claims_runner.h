#pragma once

#include "clementineloom/concurrency/duty_thread.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "gateway/claims_duty.h"
#include "gateway/claims_follower_duty.h"
#include "gateway/claims_options.h"
#include "gateway/daemon_health.h"
#include "gateway/gateway.h"

namespace clementineloom::gateway {

/// @brief Runs the claims duty of a gateway and the duty that reads the claims stream for it.
///
/// Thread safety: created and destroyed by one thread.
template <platform::LogClient Client>
class ClaimsRunner {
 public:
  /// @brief Starts both duties. Precondition: gateway, health and clients outlive the runner.
  /// @param appends client for appends
  /// @param reads client for reads; separate from appends because calls block
  ClaimsRunner(Gateway& gateway, DaemonHealth& health, const ClaimsOptions& options,
               Client& appends, Client& reads)
      : gateway_(gateway),
        claims_("claims",
                [&gateway, &appends, options] {
                  ClaimsDuty<Client>(gateway.claims_events(), gateway.routing_events(),
                                     gateway.responder(), gateway.metrics(), options, appends)
                      .Run();
                }),
        follower_("claims-follower", [this, &gateway, &health, &reads] {
          ClaimsFollowerDuty<Client>(reads, gateway.claims_events(), health, gateway.metrics(),
                                     stop_)
              .Run();
        }) {}

  /// @brief Stops both duties after appending the outcomes that are still queued.
  ~ClaimsRunner() {
    gateway_.claims_events().Close();
    stop_.Stop();
  }
  ClaimsRunner(const ClaimsRunner&) = delete;
  ClaimsRunner& operator=(const ClaimsRunner&) = delete;

 private:
  Gateway& gateway_;
  StopSignal stop_;
  DutyThread claims_;
  DutyThread follower_;
};

}  // namespace clementineloom::gateway
