#pragma once

#include "clementineloom/concurrency/bounded_ring.h"
#include "metrics/metric_registry.h"
#include "net/http_server.h"
#include "scheduler/admin_event.h"

namespace clementineloom::scheduler {

/// @brief Answers GET /health and GET /metrics.
///
/// Thread safety: none; other threads reach it only through its ring.
class AdminDuty {
 public:
  AdminDuty(net::HttpServer& server, std::chrono::milliseconds max_view_age,
            metrics::MetricRegistry& metrics)
      : server_(server), max_view_age_(max_view_age), metrics_(metrics) {}

  /// @brief Handles events until the ring is closed and drained.
  void Run(BoundedRing<AdminEvent>& events);

 private:
  void Take(const HealthView& health) { health_ = health; }
  void Take(const net::ServerRequest& request);
  [[nodiscard]] net::HttpResponse Health() const;
  [[nodiscard]] net::HttpResponse Metrics() const;

  net::HttpServer& server_;
  const std::chrono::milliseconds max_view_age_;
  metrics::MetricRegistry& metrics_;
  HealthView health_;
};

}  // namespace clementineloom::scheduler
