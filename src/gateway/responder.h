#pragma once

#include "clementineloom/errors/refusal.h"
#include "clementineloom/routing/monotonic_time.h"
#include "gateway/caller_request.h"
#include "metrics/metric_registry.h"
#include "net/http_server.h"

namespace clementineloom::gateway {

/// @brief Answers callers and records metrics of the answers.
///
/// Thread safety: every member function may be called from any thread except the server's.
class Responder {
 public:
  /// Precondition: both outlive the responder.
  Responder(net::HttpServer& server, metrics::MetricRegistry& metrics)
      : server_(server), metrics_(metrics) {}

  /// @brief Sends the answer and records its latency.
  void Answer(const CallerRequest& request, net::HttpResponse response);

  /// @brief Sends a refusal and counts its reason.
  void Refuse(const CallerRequest& request, const Refusal& refusal);

  /// @brief As above, for a request that could not be parsed or is no longer available.
  void Refuse(net::ExchangeId exchange, const Refusal& refusal);

 private:
  net::HttpServer& server_;
  metrics::MetricRegistry& metrics_;
};

}  // namespace clementineloom::gateway
