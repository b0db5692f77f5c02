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
          // May wait for the routing duty, which never waits for the upstream I/O thread.
          (void)events_.Push(std::move(result));
        }) {}

  ~Impl() {
    jobs_.Close();
    claims_.Close();
    events_.Close();
  }

  Result<void> Start(const GatewayOptions& options) {
    auto take = [this](net::ServerRequest request) { return events_.TryPush(std::move(request)); };
    auto count = [this](ResultCode code) {
      metrics_.Count(kRefusals, "reason", ResultCodeName(code));
    };
    BOOST_LEAF_ASSIGN(callers_, net::HttpServer::Start("caller-io", options.server, take, count));
    thread_.emplace("routing", [this, options] { Route(options); });
    return {};
  }

  BoundedRing<RoutingEvent>& events() { return events_; }
  BoundedRing<ClaimsEvent>& claims() { return claims_; }
  BoundedRing<CallerRequest>& jobs() { return jobs_; }
  net::HttpServer& callers() { return *callers_; }
  metrics::MetricRegistry& metrics() { return metrics_; }

 private:
  void Route(const GatewayOptions& options) {
    using Chooser = PowerOfTwoChooser<std::mt19937_64>;
    RoutingDuty<Chooser>(events_, Responder(*callers_, metrics_), upstreams_,
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
  std::unique_ptr<net::HttpServer> callers_;
  // Last, so that it is joined before anything that it uses is destroyed.
  std::optional<DutyThread> thread_;
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
  impl_->callers().BeginDrain();
  return impl_->callers().WaitDrained(timeout);
}

std::uint16_t Gateway::port() const { return impl_->callers().port(); }

BoundedRing<RoutingEvent>& Gateway::routing_events() { return impl_->events(); }

BoundedRing<ClaimsEvent>& Gateway::claims_events() { return impl_->claims(); }

BoundedRing<CallerRequest>& Gateway::job_requests() { return impl_->jobs(); }

metrics::MetricRegistry& Gateway::metrics() { return impl_->metrics(); }

Responder Gateway::responder() { return Responder(impl_->callers(), impl_->metrics()); }

}  // namespace clementineloom::gateway
