#pragma once

#include "clementineloom/concurrency/bounded_ring.h"
#include "gateway/daemon_health.h"
#include "metrics/metric_registry.h"
#include "net/http_server.h"

namespace clementineloom::gateway {

/// @brief Answers GET /health and GET /metrics of the admin address.
///
/// Thread safety: Run is called on the duty's thread; requests reach it through the ring.
class AdminDuty {
 public:
  /// Precondition: the references outlive the duty.
  AdminDuty(BoundedRing<net::ServerRequest>& requests, net::HttpServer& server,
            const DaemonHealth& health, const metrics::MetricRegistry& metrics)
      : requests_(requests), server_(server), health_(health), metrics_(metrics) {}

  /// @brief Answers until the ring is closed and drained.
  void Run();

 private:
  [[nodiscard]] net::HttpResponse Answer(const net::HttpRequest& request) const;
  [[nodiscard]] net::HttpResponse Health() const;

  BoundedRing<net::ServerRequest>& requests_;
  net::HttpServer& server_;
  const DaemonHealth& health_;
  const metrics::MetricRegistry& metrics_;
};

}  // namespace clementineloom::gateway
