#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <future>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/duty_thread.h"
#include "entry/decision_duty.h"
#include "entry/entry_event.h"
#include "entry/request_observer.h"
#include "metrics/metric_registry.h"
#include "net/http_server.h"
#include "net/http_server_options_at.h"
#include "net/refusal_response.h"
#include "settings/entry_settings.h"

namespace clementineloom::entry {

/// @brief The duties of an entry instance, joined by bounded rings: the I/O of callers, readiness
/// checks and metrics, the I/O of outgoing calls, and the decisions.
/// Thread safety: use from one thread.
template <class Platform>
class EntryDaemon {
 public:
  /// Errors: kAddressNotNumeric, kInvalidValue (an address cannot be bound).
  [[nodiscard]] static Result<std::unique_ptr<EntryDaemon>> Start(
      const settings::EntrySettings& settings) {
    std::unique_ptr<EntryDaemon> daemon(new EntryDaemon());
    BOOST_LEAF_CHECK(daemon->Open(settings));
    return daemon;
  }

  ~EntryDaemon() {
    events_.Close();
    decisions_.reset();
  }
  EntryDaemon(const EntryDaemon&) = delete;
  EntryDaemon& operator=(const EntryDaemon&) = delete;

  /// @brief Resigns ownership, finishes requests in progress and accepts no new ones. Waits until
  /// the resignation is stored, so that a successor can take over at once. Requests that wait for
  /// the store or for a peer are answered before the timeout, whether their outcome is known or
  /// not. Call once.
  /// @return false if the timeout expired first
  [[nodiscard]] bool Drain(std::chrono::milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    is_ready_ = false;
    (void)events_.Push(StopRequested{timeout - timeout / kFractionForAnswers});
    front_->BeginDrain();
    const bool is_drained = front_->WaitDrained(timeout);
    return handed_over_.get_future().wait_until(deadline) == std::future_status::ready &&
           is_drained;
  }

  /// @brief The port on which callers are served.
  [[nodiscard]] std::uint16_t port() const { return front_->port(); }

  /// @brief Numbers of requests of callers and peers so far.
  [[nodiscard]] net::RequestCounts request_counts() const { return front_->counts(); }

 private:
  static constexpr std::size_t kEventRing = 4'096;
  // This fraction of the timeout of a drain is left to write the last answers.
  static constexpr int kFractionForAnswers = 6;
  static constexpr int kOk = 200;
  static constexpr int kNotReady = 503;

  EntryDaemon() = default;

  Result<void> Open(const settings::EntrySettings& settings) {
    BOOST_LEAF_AUTO(ready_options, net::HttpServerOptionsAt(settings.ready));
    BOOST_LEAF_AUTO(front_options, net::HttpServerOptionsAt(settings.listen));
    BOOST_LEAF_ASSIGN(
        ready_, net::HttpServer::Start("ready", ready_options, [this](net::ServerRequest request) {
          AnswerReady(request);
          return true;
        }));
    if (!settings.metrics.empty()) {
      BOOST_LEAF_CHECK(OpenMetrics(settings.metrics));
    }
    BOOST_LEAF_ASSIGN(front_, net::HttpServer::Start(
                                  "callers", front_options,
                                  [this](net::ServerRequest request) {
                                    return events_.TryPush(std::move(request));
                                  },
                                  request_observer_.ForServer()));
    decisions_.emplace("decisions", [this, settings] {
      DecisionDuty<Platform> duty(settings, events_, *front_, is_ready_, metrics_,
                                  [this] { handed_over_.set_value(); });
      duty.Run();
    });
    return {};
  }

  Result<void> OpenMetrics(const std::string& address) {
    BOOST_LEAF_AUTO(options, net::HttpServerOptionsAt(address));
    BOOST_LEAF_ASSIGN(metrics_server_, net::HttpServer::Start("metrics", options,
                                                              [this](net::ServerRequest request) {
                                                                AnswerMetrics(request);
                                                                return true;
                                                              }));
    return {};
  }

  // Runs on the server's thread, so that readiness checks take no time from the decision thread.
  void AnswerReady(const net::ServerRequest& request) {
    ready_->Answer(request.id, {is_ready_ ? kOk : kNotReady, {}, {}});
  }

  // Runs on the server's thread; the registry holds its lock only while it copies its values.
  void AnswerMetrics(const net::ServerRequest& request) {
    const bool is_known = request.request.method == "GET" && request.request.target == "/metrics";
    metrics_server_->Answer(
        request.id,
        is_known ? net::HttpResponse{kOk, net::HttpHeaders().With("Content-Type", "text/plain"),
                                     metrics_.Expose()}
                 : net::RefusalResponse({ResultCode::kMalformedRequest, RunState::kDidNotRun,
                                         "only GET /metrics is served here"}));
  }

  std::atomic<bool> is_ready_{false};
  // Set once the instance has been told to stop and does not own the workers.
  std::promise<void> handed_over_;
  metrics::MetricRegistry metrics_;
  RequestObserver request_observer_{metrics_};
  BoundedRing<EntryEvent> events_{kEventRing};
  std::unique_ptr<net::HttpServer> ready_;
  std::unique_ptr<net::HttpServer> metrics_server_;
  std::unique_ptr<net::HttpServer> front_;
  std::optional<DutyThread> decisions_;
};

}  // namespace clementineloom::entry
