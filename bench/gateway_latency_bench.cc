#include <algorithm>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/duty_thread.h"
#include "gateway/gateway.h"
#include "net/http_client.h"
#include "net/http_server.h"

// Measures the latency that the gateway adds to a request: each round calls the same worker first
// directly and then through a gateway, with a fixed number of connections. Every answer is matched
// to its request; the run fails if one is lost, wrong or duplicate.
//
// Usage: gateway_latency_bench [REQUESTS [RATE]]
// REQUESTS is the number for each connection count, 33334 by default. Without RATE, each connection
// sends its next request as soon as it has an answer, which saturates the gateway, the worker and
// the caller. With RATE, requests are sent at this rate per second while a connection is free.

namespace clementineloom {
namespace {

using Clock = std::chrono::steady_clock;
using Microseconds = std::chrono::duration<double, std::micro>;

constexpr std::size_t kDefaultRequests = 33'334;
constexpr std::size_t kRounds = 10;
constexpr std::uint16_t kSlots = 128;
constexpr std::size_t kNanosecondsPerSecond = 1'000'000'000;

struct Samples {
  std::vector<double> latencies_us;
  double seconds = 0;

  [[nodiscard]] double Quantile(double q) {
    std::ranges::sort(latencies_us);
    return latencies_us[static_cast<std::size_t>(q * static_cast<double>(latencies_us.size() - 1))];
  }
};

// Answers each request with its body.
class EchoWorker {
 public:
  EchoWorker() {
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_ASSIGN(server_, net::HttpServer::Start("worker-io", {}, [this](auto request) {
                          return requests_.TryPush(std::move(request));
                        }));
      return {};
    });
    if (refusal) {
      std::abort();
    }
    thread_ = std::make_unique<DutyThread>("worker", [this] { Run(); });
  }
  ~EchoWorker() { requests_.Close(); }
  EchoWorker(const EchoWorker&) = delete;
  EchoWorker& operator=(const EchoWorker&) = delete;

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }

 private:
  void Run() {
    while (auto request = requests_.Pop()) {
      const net::HttpHeaders headers =
          net::HttpHeaders().With("X-Request-Id", request->request.headers.Find("X-Request-Id"));
      server_->Answer(request->id, {200, headers, std::move(request->request.body)});
    }
  }

  BoundedRing<net::ServerRequest> requests_{4096};
  std::unique_ptr<net::HttpServer> server_;
  std::unique_ptr<DutyThread> thread_;
};

class Caller {
 public:
  /// @param rate requests per second, 0 for as many as possible
  explicit Caller(std::size_t rate)
      : interval_(std::chrono::nanoseconds(rate == 0 ? 0 : kNanosecondsPerSecond / rate)) {}

  // Sends requests, at most one per connection at a time, until all are answered.
  bool Run(const std::string& address, std::size_t requests, std::size_t connections,
           Samples& samples) {
    sent_at_.assign(requests, {});
    is_answered_.assign(requests, false);
    first_ = last_;
    const auto begin = Clock::now();
    std::size_t sent = 0;
    std::size_t answered = 0;
    while (answered < requests) {
      const bool may_send = sent < requests && sent - answered < connections;
      const auto wait = begin + static_cast<std::int64_t>(sent) * interval_ - Clock::now();
      if (may_send && wait <= Clock::duration::zero()) {
        Send(address, sent++);
      } else if (const auto result = may_send ? results_.PopFor(wait) : results_.Pop()) {
        ++answered;
        if (!Check(*result, samples)) {
          return false;
        }
      }
    }
    samples.seconds += std::chrono::duration<double>(Clock::now() - begin).count();
    return results_.size() == 0;
  }

 private:
  void Send(const std::string& address, std::size_t n) {
    const std::string body = std::to_string(++last_);
    const net::HttpHeaders headers = net::HttpHeaders().With("X-Request-Id", body);
    sent_at_[n] = Clock::now();
    if (!client_.Send({net::CallId(last_), address, {"POST", "/serve/echo", headers, body}})) {
      std::abort();
    }
  }

  bool Check(const net::ClientResult& result, Samples& samples) {
    const std::size_t n = result.id.value() - first_ - 1;
    const bool is_right = result.response && result.response->status == 200 &&
                          result.response->body == std::to_string(result.id.value()) &&
                          !is_answered_[n];
    if (!is_right) {
      std::printf("request %zu: lost, wrong or answered twice\n", n);
      return false;
    }
    is_answered_[n] = true;
    samples.latencies_us.push_back(Microseconds(Clock::now() - sent_at_[n]).count());
    return true;
  }

  const std::chrono::nanoseconds interval_;
  BoundedRing<net::ClientResult> results_{4096};
  net::HttpClient client_{
      "caller", {}, [this](net::ClientResult result) { (void)results_.Push(std::move(result)); }};
  std::vector<Clock::time_point> sent_at_;
  std::vector<bool> is_answered_;
  std::uint64_t first_ = 0;
  std::uint64_t last_ = 0;
};

std::string Loopback(std::uint16_t port) { return "127.0.0.1:" + std::to_string(port); }

bool Measure(Caller& caller, const std::string& direct, const std::string& gateway,
             std::size_t requests, std::size_t connections) {
  Samples without;
  Samples with;
  for (std::size_t n = 0; n < kRounds; ++n) {
    if (!caller.Run(direct, requests / kRounds + 1, connections, without) ||
        !caller.Run(gateway, requests / kRounds + 1, connections, with)) {
      return false;
    }
  }
  std::printf(
      "connections %2zu: requests %zu, direct p50 %.0f p99 %.0f us, gateway p50 %.0f p99 %.0f us, "
      "added p50 %.0f p99 %.0f us, %.0f requests/s through the gateway\n",
      connections, with.latencies_us.size(), without.Quantile(0.5), without.Quantile(0.99),
      with.Quantile(0.5), with.Quantile(0.99), with.Quantile(0.5) - without.Quantile(0.5),
      with.Quantile(0.99) - without.Quantile(0.99),
      static_cast<double>(with.latencies_us.size()) / with.seconds);
  return true;
}

int Run(std::size_t requests, std::size_t rate) {
  EchoWorker worker;
  gateway::GatewayOptions options;
  return CatchRefusal(
      [&]() -> Result<int> {
        BOOST_LEAF_AUTO(gateway, gateway::Gateway::Start(options));
        gateway->SetView(RoutingView(LogOffset(1), {Upstream{WorkerId(0), Loopback(worker.port()),
                                                             DataCentreId(0), kSlots}}));
        std::printf("seed %llu, requests for each row %zu, rate %zu (0: saturated)\n",
                    static_cast<unsigned long long>(options.seed), requests, rate);
        Caller caller(rate);
        for (const std::size_t connections : {1, 16, 64}) {
          if (!Measure(caller, Loopback(worker.port()), Loopback(gateway->port()), requests,
                       connections)) {
            return EXIT_FAILURE;
          }
        }
        std::printf("no request was lost or answered twice\n");
        return EXIT_SUCCESS;
      },
      [](const Refusal& refusal) {
        std::printf("%s\n", refusal.detail.c_str());
        return EXIT_FAILURE;
      });
}

}  // namespace
}  // namespace clementineloom

int main(int argc, char** argv) {
  const std::size_t requests =
      argc > 1 ? std::strtoull(argv[1], nullptr, 10) : clementineloom::kDefaultRequests;
  const std::size_t rate = argc > 2 ? std::strtoull(argv[2], nullptr, 10) : 0;
  return clementineloom::Run(requests, rate);
}
