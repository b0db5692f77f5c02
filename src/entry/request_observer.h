#pragma once

#include <chrono>
#include <cstdint>

#include "clementineloom/errors/result_code_table.h"
#include "entry/metric_specs.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"
#include "net/ended_request.h"
#include "net/request_outcome_name.h"
#include "net/server_observer.h"

namespace clementineloom::entry {

/// @brief Counts the requests of the callers' server by outcome, and logs those that get no whole
/// answer.
/// Thread safety: none; use as a ServerObserver is used.
class RequestObserver {
 public:
  /// Precondition: the metrics outlive the observer.
  explicit RequestObserver(metrics::MetricRegistry& metrics) : metrics_(metrics) {}

  /// @brief The observer of a server. Precondition: this object outlives the server.
  [[nodiscard]] net::ServerObserver ForServer() {
    return {[this](ResultCode code) {
              metrics_.Count(kRefusals.name, kRefusals.label, ResultCodeName(code));
            },
            [this] { metrics_.Count(kRequestsRead.name); },
            [this](const net::EndedRequest& request) { OnEnd(request); }};
  }

 private:
  static constexpr std::uint32_t kMaxLinesPerSecond = 20;

  void OnEnd(const net::EndedRequest& request) {
    metrics_.Count(kRequestsEnded.name, kRequestsEnded.label, RequestOutcomeName(request.outcome));
    const bool has_answer = request.outcome == net::RequestOutcome::kAnswered ||
                            request.outcome == net::RequestOutcome::kRefused;
    if (has_answer || !budget_.Allow(std::chrono::steady_clock::now())) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kWarning, "request_dropped",
                      {{"method", request.method},
                       {"path", request.target},
                       {"outcome", RequestOutcomeName(request.outcome)},
                       {"waited_ms", request.duration.count()},
                       {"left_out", budget_.TakeLeftOut()}});
  }

  metrics::MetricRegistry& metrics_;
  logging::EventBudget budget_{kMaxLinesPerSecond};
};

}  // namespace clementineloom::entry
