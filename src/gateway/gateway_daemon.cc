#include "gateway/gateway_daemon.h"

#include <algorithm>
#include <boost/uuid/random_generator.hpp>
#include <boost/uuid/uuid_io.hpp>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/concurrency/duty_thread.h"
#include "clementineloom/concurrency/stop_signal.h"
#include "gateway/admin_duty.h"
#include "gateway/claims_runner.h"
#include "gateway/control_follower_duty.h"
#include "gateway/gateway.h"
#include "gateway/instance_list_duty.h"
#include "gateway/jobs_duty.h"
#include "gateway/options_of.h"
#include "gateway/scheduler_view_duty.h"
#include "platform/http_log_client.h"
#include "platform/instance_list_client.h"
#include "platform/read_wait_for.h"

namespace clementineloom::gateway {
namespace {

using platform::HttpLogClient;
using platform::InstanceListClient;
using settings::GatewaySettings;

// Reads and appends are normally answered within milliseconds; after this time the client switches
// to the next front end of the log.
constexpr std::chrono::milliseconds kLogTimeout{1'000};
constexpr std::chrono::milliseconds kListTimeout{1'000};
// Each jobs duty has one call in progress, and a submission blocks until the log has answered.
constexpr std::size_t kJobsDutyCount = 4;
constexpr std::chrono::milliseconds kJobTimeout{5'000};
constexpr std::size_t kAdminRing = 32;
constexpr std::chrono::milliseconds kMaxPollInterval{500};
// So that one lost answer does not make the view stale.
constexpr int kPollsPerViewAge = 4;

std::string NewProcessId() { return boost::uuids::to_string(boost::uuids::random_generator()()); }

}  // namespace

class GatewayDaemon::Impl {
 public:
  explicit Impl(const GatewaySettings& settings) : settings_(settings) {}

  ~Impl() {
    stop_.Stop();
    admin_requests_.Close();
    if (gateway_) {
      gateway_->job_requests().Close();
    }
  }

  Result<void> Start() {
    BOOST_LEAF_AUTO(options, GatewayOptionsOf(settings_));
    BOOST_LEAF_AUTO(admin_options, AdminOptionsOf(settings_));
    BOOST_LEAF_ASSIGN(gateway_, Gateway::Start(options));
    BOOST_LEAF_ASSIGN(admin_, net::HttpServer::Start(
                                  "admin-io", admin_options, [this](net::ServerRequest request) {
                                    return admin_requests_.TryPush(std::move(request));
                                  }));
    StartAdmin();
    StartFollowers();
    StartClaims();
    StartJobs();
    return {};
  }

  bool Drain() {
    health_.is_draining = true;
    return gateway_->Drain(std::chrono::milliseconds(settings_.common.drain_timeout_ms));
  }

  [[nodiscard]] std::uint16_t port() const { return gateway_->port(); }
  [[nodiscard]] std::uint16_t admin_port() const { return admin_->port(); }

 private:
  void StartAdmin() {
    threads_.emplace_back("admin", [this] {
      AdminDuty(admin_requests_, *admin_, health_, gateway_->metrics()).Run();
    });
  }

  void StartFollowers() {
    threads_.emplace_back("log-follower", [this] {
      HttpLogClient log("log-follower-io", settings_.common.log_service, kLogTimeout);
      platform::FollowerOptions options;
      options.read_wait = platform::ReadWaitFor(max_view_age());
      ControlFollowerDuty<HttpLogClient>(log, options, gateway_->routing_events(), published_,
                                         health_, gateway_->metrics(), stop_)
          .Run();
    });
    threads_.emplace_back("instance-list", [this] {
      InstanceListClient list("instance-list-io", settings_.common.instance_list, kListTimeout);
      const std::chrono::milliseconds interval(settings_.common.instance_list_interval_ms);
      InstanceListDuty<InstanceListClient>(list, gateway_->routing_events(), gateway_->metrics(),
                                           stop_, interval)
          .Run();
    });
  }

  void StartClaims() {
    const auto& addresses = settings_.common.log_service;
    claims_appends_.emplace("claims-io", addresses, kLogTimeout);
    claims_reads_.emplace("claims-read-io", addresses, kLogTimeout);
    claims_.emplace(*gateway_, health_, ClaimsOptionsOf(settings_, process_), *claims_appends_,
                    *claims_reads_);
  }

  void StartJobs() {
    if (settings_.scheduler_rpc.empty()) {
      return;
    }
    for (std::size_t n = 0; n < kJobsDutyCount; ++n) {
      threads_.emplace_back("jobs-" + std::to_string(n), [this] {
        JobsDuty(gateway_->job_requests(), gateway_->responder(), settings_.scheduler_rpc,
                 settings_.common.instance + "/" + process_, kJobTimeout)
            .Run();
      });
    }
    threads_.emplace_back("scheduler-view", [this] {
      SchedulerViewDuty(settings_.scheduler_rpc, published_, gateway_->routing_events(), health_,
                        stop_, std::min(kMaxPollInterval, max_view_age() / kPollsPerViewAge))
          .Run();
    });
  }

  [[nodiscard]] std::chrono::milliseconds max_view_age() const {
    return std::chrono::milliseconds(settings_.common.max_view_age_ms);
  }

  const GatewaySettings settings_;
  const std::string process_ = NewProcessId();
  DaemonHealth health_;
  PublishedOffset published_;
  StopSignal stop_;
  std::unique_ptr<Gateway> gateway_;
  BoundedRing<net::ServerRequest> admin_requests_{kAdminRing};
  std::unique_ptr<net::HttpServer> admin_;
  std::optional<HttpLogClient> claims_appends_;
  std::optional<HttpLogClient> claims_reads_;
  std::optional<ClaimsRunner<HttpLogClient>> claims_;
  // Declared last, so that they are joined before the members they use are destroyed.
  std::vector<DutyThread> threads_;
};

Result<std::unique_ptr<GatewayDaemon>> GatewayDaemon::Start(const GatewaySettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_LEAF_CHECK(impl->Start());
  return std::unique_ptr<GatewayDaemon>(new GatewayDaemon(std::move(impl)));
}

GatewayDaemon::GatewayDaemon(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
GatewayDaemon::~GatewayDaemon() = default;

bool GatewayDaemon::Drain() { return impl_->Drain(); }

std::uint16_t GatewayDaemon::port() const { return impl_->port(); }

std::uint16_t GatewayDaemon::admin_port() const { return impl_->admin_port(); }

}  // namespace clementineloom::gateway
