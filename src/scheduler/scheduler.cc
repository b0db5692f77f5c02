#include "scheduler/scheduler.h"

#include <optional>
#include <utility>

#include "clementineloom/concurrency/duty_thread.h"
#include "clementineloom/decision/default_decision_engine.h"
#include "net/http_server_options_at.h"
#include "net/parse_endpoint.h"
#include "platform/http_log_client.h"
#include "platform/http_worker_channel.h"
#include "platform/instance_list_client.h"
#include "platform/log_follower.h"
#include "platform/read_wait_for.h"
#include "rpc/rpc_server.h"
#include "scheduler/admin_duty.h"
#include "scheduler/append_duty.h"
#include "scheduler/decision_duty.h"
#include "scheduler/instance_list_duty.h"
#include "scheduler/peer_duty.h"
#include "scheduler/rpc_duty.h"
#include "scheduler/rpc_peer_source.h"
#include "scheduler/task_driver.h"

namespace clementineloom::scheduler {
namespace {

using platform::HttpLogClient;
using platform::HttpWorkerChannel;
using platform::InstanceListClient;
using std::chrono::milliseconds;

// An operator's change is read back from the log within about 20 ms; the timeout leaves
// time for a slow log.
constexpr milliseconds kOperatorTimeout{5'000};
// A worker that does not answer in this time is called again; short compared with the lease and the
// start deadline.
constexpr milliseconds kWorkerTimeout{1'000};
constexpr milliseconds kInstanceListTimeout{1'000};
constexpr milliseconds kPeerTimeout{300};
constexpr std::size_t kAdminRingCapacity = 64;
constexpr std::size_t kPeerRingCapacity = 64;
// Sized for batches of records from the log; the follower waits while the ring is full.
constexpr std::size_t kDecisionRingCapacity = 256;
// A call occupies a handler thread while it waits for the log.
constexpr std::size_t kRpcThreads = 8;
// Duties that report to drained_ when they have drained: the decision duty and the task driver.
constexpr int kDrainedDuties = 2;

DecisionOptions DecisionOptionsOf(const settings::SchedulerSettings& settings,
                                  const std::string& process) {
  DecisionOptions options;
  options.instance = settings.common.instance;
  options.process = process;
  options.max_view_age = milliseconds(settings.common.max_view_age_ms);
  options.rank_delay = milliseconds(settings.rank_delay_ms);
  options.snapshot_interval = settings.snapshot_interval_records;
  return options;
}

DriverOptions DriverOptionsOf(const settings::SchedulerSettings& settings,
                              const std::string& process) {
  DriverOptions options;
  options.instance = settings.common.instance;
  options.process = process;
  options.max_view_age = milliseconds(settings.common.max_view_age_ms);
  options.max_renew_view_age = milliseconds(settings.max_renew_view_age_ms);
  options.rank_delay = milliseconds(settings.rank_delay_ms);
  options.lease = Duration(settings.lease_ms);
  options.renew_interval = milliseconds(settings.renew_interval_ms);
  options.reserve_ttl = Duration(settings.reserve_timeout_ms);
  return options;
}

platform::FollowerOptions FollowerOptionsOf(const settings::SchedulerSettings& settings) {
  platform::FollowerOptions options;
  options.read_wait = platform::ReadWaitFor(milliseconds(settings.common.max_view_age_ms));
  return options;
}

}  // namespace

class Scheduler::Impl {
 public:
  explicit Impl(const settings::SchedulerSettings& settings)
      : settings_(settings),
        process_(MakeProcessName(settings.common.instance)),
        decisions_(kDecisionRingCapacity),
        appends_(settings.ring_capacity),
        driver_(settings.ring_capacity),
        admin_(kAdminRingCapacity),
        peers_(kPeerRingCapacity),
        read_log_("log-read", settings.common.log_service),
        append_log_("log-append", settings.common.log_service),
        follower_(
            read_log_, FollowerOptionsOf(settings),
            [this](platform::FollowedBatch batch) { return decisions_.Push(std::move(batch)); }),
        rpc_(decisions_, kOperatorTimeout, metrics_),
        instance_list_("list", settings.common.instance_list, kInstanceListTimeout),
        list_duty_(
            instance_list_, milliseconds(settings.common.instance_list_interval_ms),
            [this](std::shared_ptr<const platform::InstanceList> it) {
              return decisions_.TryPush(std::move(it));
            },
            metrics_),
        workers_("workers", kWorkerTimeout, [this](platform::WorkerResult it) {
          // Blocks while the ring is full. The task driver, which empties it, never waits for the
          // I/O thread, so the two cannot wait for each other.
          (void)driver_.Push(std::move(it));
        }) {}

  ~Impl() {
    follower_.Stop();
    list_duty_.Stop();
    decisions_.Close();
    appends_.Close();
    driver_.Close();
    admin_.Close();
    peers_.Close();
  }

  Result<void> Start() {
    BOOST_LEAF_CHECK(StartAdmin());
    BOOST_LEAF_CHECK(StartRpc());
    StartDuties();
    return {};
  }

  bool Drain(milliseconds timeout) {
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    (void)decisions_.Push(StartDraining{});
    (void)driver_.Push(StartDraining{});
    for (int n = 0; n < kDrainedDuties; ++n) {
      if (!drained_.PopFor(deadline - std::chrono::steady_clock::now())) {
        return false;
      }
    }
    return true;
  }

  std::uint16_t rpc_port() const { return rpc_server_->port(); }
  std::uint16_t admin_port() const { return admin_server_->port(); }

 private:
  Result<void> StartAdmin() {
    BOOST_LEAF_AUTO(options, net::HttpServerOptionsAt(settings_.common.admin));
    BOOST_LEAF_ASSIGN(admin_server_,
                      net::HttpServer::Start("admin-io", options, [this](net::ServerRequest it) {
                        return admin_.TryPush(std::move(it));
                      }));
    return {};
  }

  Result<void> StartRpc() {
    BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(settings_.rpc));
    rpc::RpcServerOptions options;
    options.address = endpoint.address().to_string();
    options.port = endpoint.port();
    options.handler_threads = kRpcThreads;
    BOOST_LEAF_ASSIGN(rpc_server_, rpc::RpcServer::Start(options, RpcDuty::Methods(),
                                                         [this](const rpc::RpcCall& call) {
                                                           return rpc_.Handle(call);
                                                         }));
    return {};
  }

  void StartDuties() {
    threads_.emplace_back("admin", [this] {
      AdminDuty(*admin_server_, milliseconds(settings_.common.max_view_age_ms), metrics_)
          .Run(admin_);
    });
    threads_.emplace_back("append", [this] {
      const auto drop = [this](ProposalDropped it) { return decisions_.TryPush(std::move(it)); };
      AppendDuty<HttpLogClient>(append_log_, {}, drop, metrics_).Run(appends_);
    });
    threads_.emplace_back("decision", [this] {
      DecisionDuty<CellPlacer>(DecisionOptionsOf(settings_, process_), DefaultDecisionEngine(),
                               {appends_, driver_, admin_, peers_, drained_, metrics_})
          .Run(decisions_);
    });
    threads_.emplace_back("driver", [this] {
      TaskDriver<HttpWorkerChannel>(DriverOptionsOf(settings_, process_), workers_,
                                    {appends_, drained_, metrics_})
          .Run(driver_);
    });
    threads_.emplace_back("peers", [this] {
      RpcPeerSource source(kPeerTimeout);
      const auto sink = [this](PeerFreshness it) { return decisions_.TryPush(it); };
      PeerDuty<RpcPeerSource>(settings_.common.instance, source, sink, metrics_).Run(peers_);
    });
    threads_.emplace_back("instance-list", [this] { list_duty_.Run(); });
    threads_.emplace_back("follower", [this] { follower_.Run(); });
  }

  const settings::SchedulerSettings settings_;
  const std::string process_;
  metrics::MetricRegistry metrics_;
  BoundedRing<DecisionEvent> decisions_;
  BoundedRing<AppendEvent> appends_;
  BoundedRing<DriverEvent> driver_;
  BoundedRing<AdminEvent> admin_;
  BoundedRing<PeerEvent> peers_;
  BoundedRing<Drained> drained_{4};
  HttpLogClient read_log_;
  HttpLogClient append_log_;
  platform::LogFollower<HttpLogClient> follower_;
  RpcDuty rpc_;
  InstanceListClient instance_list_;
  InstanceListDuty<InstanceListClient> list_duty_;
  HttpWorkerChannel workers_;
  std::unique_ptr<net::HttpServer> admin_server_;
  std::unique_ptr<rpc::RpcServer> rpc_server_;
  // Declared last, so that all threads are joined before anything that they use is destroyed.
  std::vector<DutyThread> threads_;
};

Result<std::unique_ptr<Scheduler>> Scheduler::Start(const settings::SchedulerSettings& settings) {
  auto impl = std::make_unique<Impl>(settings);
  BOOST_LEAF_CHECK(impl->Start());
  return std::unique_ptr<Scheduler>(new Scheduler(std::move(impl)));
}

Scheduler::Scheduler(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
Scheduler::~Scheduler() = default;

bool Scheduler::Drain(std::chrono::milliseconds timeout) { return impl_->Drain(timeout); }

std::uint16_t Scheduler::rpc_port() const { return impl_->rpc_port(); }
std::uint16_t Scheduler::admin_port() const { return impl_->admin_port(); }

}  // namespace clementineloom::scheduler
