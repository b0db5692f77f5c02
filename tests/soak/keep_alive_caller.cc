#include "soak/keep_alive_caller.h"

#include <algorithm>
#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/concurrency/duty_thread.h"
#include "net/detail/drain_signal.h"
#include "net/parse_endpoint.h"
#include "soak/call_plan.h"
#include "soak/caller_connection.h"

namespace clementineloom::soak {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Clock = std::chrono::steady_clock;

// New batches beyond this are dropped, because the connections cannot keep up with the rates.
constexpr std::size_t kMaxPending = 64;

}  // namespace

class KeepAliveCaller::Impl {
 public:
  using Endpoint = CallerConnection::Endpoint;

  Impl(CallerOptions options, std::vector<Endpoint> endpoints, AnyJobBodySource bodies,
       RequestLog& log)
      : options_(std::move(options)),
        endpoints_(std::move(endpoints)),
        log_(log),
        plan_(options_, std::move(bodies)) {
    for (std::size_t n = 0; n < options_.connections; ++n) {
      idle_.push_back(&connections_.emplace_back(context_, options_, plan_));
    }
    asio::co_spawn(context_, Schedule(), asio::detached);
    thread_.emplace("soak-caller", [this] { context_.run(); });
  }

  ~Impl() {
    // The thread ends when the last coroutine has.
    asio::post(context_, [this] {
      is_closing_ = true;
      for (CallerConnection& it : connections_) {
        it.Close();
      }
      wake_.cancel();
    });
    thread_->Join();
  }

  bool Stop(std::chrono::milliseconds timeout) {
    asio::post(context_, [this] {
      is_stopping_ = true;
      wake_.cancel();
    });
    return all_ended_.WaitFor(timeout);
  }

 private:
  // Adds new batches and repeats when they are due.
  asio::awaitable<void> Schedule() {
    auto next_new = Clock::now();
    while (!is_closing_) {
      const auto now = Clock::now();
      while (!is_stopping_ && next_new <= now) {
        next_new += plan_.NextInterval();
        if (pending_.size() < kMaxPending) {
          pending_.push_back(plan_.Next());
        }
      }
      while (!delayed_.empty() && delayed_.begin()->first <= now) {
        pending_.push_back(std::move(delayed_.begin()->second));
        delayed_.erase(delayed_.begin());
      }
      Dispatch();
      if (is_stopping_ && IsAllEnded()) {
        all_ended_.Set();
      }
      error_code ec;
      wake_.expires_at(NextDue(next_new));
      co_await wake_.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
  }

  Clock::time_point NextDue(Clock::time_point next_new) const {
    const auto due = is_stopping_ ? Clock::time_point::max() : next_new;
    return delayed_.empty() ? due : std::min(due, delayed_.begin()->first);
  }

  bool IsAllEnded() const {
    return pending_.empty() && delayed_.empty() && idle_.size() == connections_.size();
  }

  // Gives pending batches to connections that are idle.
  void Dispatch() {
    while (!pending_.empty() && !idle_.empty() && !is_closing_) {
      std::swap(idle_[plan_.ChooseIndex(idle_.size())], idle_.back());
      CallerConnection& connection = *idle_.back();
      idle_.pop_back();
      asio::co_spawn(context_, Send(connection, std::move(pending_.front())), asio::detached);
      pending_.pop_front();
    }
  }

  asio::awaitable<void> Send(CallerConnection& connection, RequestBatch batch) {
    const std::vector<RequestRecord> records = co_await Exchange(connection, batch);
    for (std::size_t n = 0; n < records.size(); ++n) {
      log_.Add(records[n]);
      if (auto repeat = plan_.OnOutcome(batch.requests[n], records[n])) {
        delayed_.emplace(Clock::now() + repeat->delay, std::move(repeat->batch));
      }
    }
    idle_.push_back(&connection);
    wake_.cancel();
  }

  asio::awaitable<std::vector<RequestRecord>> Exchange(CallerConnection& connection,
                                                       const RequestBatch& batch) {
    const bool is_avoided =
        endpoints_.size() > 1 && batch.avoided_instance == connection.instance();
    if (is_avoided || !connection.IsUsable()) {
      const std::size_t instance = plan_.ChooseInstance(batch.avoided_instance);
      const std::uint64_t number = log_.NextConnection();
      const bool is_connected = co_await connection.Connect(endpoints_[instance], instance, number);
      if (!is_connected || is_closing_) {
        co_return NotConnected(batch, instance);
      }
    }
    co_return co_await connection.Exchange(batch);
  }

  // Records of a batch for which no connection was made.
  [[nodiscard]] std::vector<RequestRecord> NotConnected(const RequestBatch& batch,
                                                        std::size_t instance) const {
    std::vector<RequestRecord> records;
    for (const PlannedRequest& it : batch.requests) {
      records.push_back(RequestRecord::Of(it, options_.path_prefix, instance));
      records.back().ended = Clock::now();
    }
    return records;
  }

  const CallerOptions options_;
  const std::vector<Endpoint> endpoints_;
  RequestLog& log_;
  CallPlan plan_;
  asio::io_context context_{1};
  // Cancelled when Schedule has something to do before its time.
  asio::steady_timer wake_{context_};
  std::deque<CallerConnection> connections_;
  std::vector<CallerConnection*> idle_;
  std::deque<RequestBatch> pending_;
  std::multimap<Clock::time_point, RequestBatch> delayed_;
  bool is_stopping_ = false;
  bool is_closing_ = false;
  net::detail::DrainSignal all_ended_;

  // Declared last, so that it is joined before the members that it uses are destroyed.
  std::optional<DutyThread> thread_;
};

Result<std::unique_ptr<KeepAliveCaller>> KeepAliveCaller::StartWith(CallerOptions options,
                                                                    AnyJobBodySource bodies,
                                                                    RequestLog& log) {
  std::vector<CallerConnection::Endpoint> endpoints;
  for (const std::string& it : options.fronts) {
    BOOST_LEAF_AUTO(endpoint, net::ParseEndpoint(it));
    endpoints.push_back(endpoint);
  }
  return std::unique_ptr<KeepAliveCaller>(new KeepAliveCaller(
      std::make_unique<Impl>(std::move(options), std::move(endpoints), std::move(bodies), log)));
}

KeepAliveCaller::KeepAliveCaller(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
KeepAliveCaller::~KeepAliveCaller() = default;

bool KeepAliveCaller::Stop(std::chrono::milliseconds timeout) { return impl_->Stop(timeout); }

}  // namespace clementineloom::soak
