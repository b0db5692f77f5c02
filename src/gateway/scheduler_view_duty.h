#pragma once

#include <chrono>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "gateway/daemon_health.h"
#include "gateway/published_offset.h"
#include "gateway/routing_event.h"
#include "rpc/rpc_client.h"

namespace clementineloom::gateway {

/// @brief Confirms the routing view with the tail of the control stream that the scheduler knows.
///
/// The scheduler also knows what its peers have read. If its tail is not beyond the offset that
/// this gateway has applied, the gateway's view was the newest at that time. Requests are therefore
/// still served while only this gateway cannot read the log. Thread safety: Run is called on the
/// duty's thread.
class SchedulerViewDuty {
 public:
  /// Precondition: the references outlive the duty.
  /// @param poll_interval time between two polls, and for an answer; a fraction of
  /// RoutingOptions::max_view_age
  SchedulerViewDuty(std::string scheduler, const PublishedOffset& published,
                    BoundedRing<RoutingEvent>& routing, const DaemonHealth& health,
                    StopSignal& stop, std::chrono::milliseconds poll_interval)
      : scheduler_(std::move(scheduler)),
        published_(published),
        routing_(routing),
        health_(health),
        stop_(stop),
        poll_interval_(poll_interval) {}

  /// @brief Polls the scheduler until the stop signal.
  void Run();

 private:
  void ConfirmView();

  rpc::RpcClient scheduler_;
  const PublishedOffset& published_;
  BoundedRing<RoutingEvent>& routing_;
  const DaemonHealth& health_;
  StopSignal& stop_;
  const std::chrono::milliseconds poll_interval_;
};

}  // namespace clementineloom::gateway
