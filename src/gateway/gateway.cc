#include "gateway/gateway.h"

#include <optional>
#include <random>
#include <utility>

#include "clementineloom/concurrency/duty_thread.h"
#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/routing/power_of_two_chooser.h"
#include "gateway/metric_names.h"
#include "gateway/routing_duty.h"
#include "net/http_client.h"
#include "net/http_server.h"

namespace clementineloom::gateway {

class Gateway::Impl {
 public:
  explicit Impl(const GatewayOptions& options)
      : events_(options.event_ring),
        claims_(options.event_ring),
        jobs_(options.jobs_ring),
        upstreams_("upstream-io", options.client, [this](net::ClientResult result) {
          // May block on the routing duty, which never blocks on the upstream I/O thread.
          (void)events_.Push(std::move(result));
        }) {}

  ~Impl() {
    jobs_.Close();
    claims_.Close();
    events_.Close();
  }

  Result<void> Start(const GatewayOptions& options) {
    auto on_request = [this](net::ServerRequest request) {
      return events_.TryPush(std::move(request));
    };
    net::ServerObserver observer;
    observer.on_refusal = [this](ResultCode code) {
      metrics_.Count(kRefusals, "reason", ResultCodeName(code));
    };
    BOOST_LEAF_ASSIGN(server_,
                      net::HttpServer::Start("caller-io", options.server, on_request, observer));
    routing_thread_.emplace("routing", [this, options] { Route(options); });
    return {};
  }

  BoundedRing<RoutingEvent>& events() { return events_; }
  BoundedRing<ClaimsEvent>& claims() { return claims_; }
  BoundedRing<CallerRequest>& jobs() { return jobs_; }
  net::HttpServer& server() { return *server_; }
  metrics::MetricRegistry& metrics() { return metrics_; }

 private:
  void Route(const GatewayOptions& options) {
    using Chooser = PowerOfTwoChooser<std::mt19937_64>;
    RoutingDuty<Chooser>(events_, Responder(*server_, metrics_), upstreams_,
                         ClaimsPort(options.uses_claims ? &claims_ : nullptr, metrics_),
                         JobsPort(options.uses_scheduler ? &jobs_ : nullptr), metrics_,
                         options.routing, Chooser(std::mt19937_64(options.seed)))
        .Run();
  }

  metrics::MetricRegistry metrics_;
  BoundedRing<RoutingEvent> events_;
  BoundedRing<ClaimsEvent> claims_;
  BoundedRing<CallerRequest> jobs_;
  net::HttpClient upstreams_;
  std::unique_ptr<net::HttpServer> server_;
  // Declared last, so that it is joined before the members it uses are destroyed.
  std::optional<DutyThread> routing_thread_;
};

Result<std::unique_ptr<Gateway>> Gateway::Start(const GatewayOptions& options) {
  auto impl = std::make_unique<Impl>(options);
  BOOST_LEAF_CHECK(impl->Start(options));
  return std::unique_ptr<Gateway>(new Gateway(std::move(impl)));
}

Gateway::Gateway(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Gateway::~Gateway() = default;

void Gateway::SetView(RoutingView view) {
  (void)impl_->events().Push(
      ViewUpdate{std::make_shared<const RoutingView>(std::move(view)), MonotonicTime::max()});
}

bool Gateway::Drain(std::chrono::milliseconds timeout) {
  impl_->server().BeginDrain();
  return impl_->server().WaitDrained(timeout);
}

std::uint16_t Gateway::port() const { return impl_->server().port(); }

BoundedRing<RoutingEvent>& Gateway::routing_events() { return impl_->events(); }

BoundedRing<ClaimsEvent>& Gateway::claims_events() { return impl_->claims(); }

BoundedRing<CallerRequest>& Gateway::job_requests() { return impl_->jobs(); }

metrics::MetricRegistry& Gateway::metrics() { return impl_->metrics(); }

Responder Gateway::responder() { return Responder(impl_->server(), impl_->metrics()); }

}  // namespace clementineloom::gateway
