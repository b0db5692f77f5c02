#include "rpc/rpc_server.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/json/object.hpp>
#include <boost/json/parse.hpp>
#include <boost/json/serialize.hpp>
#include <optional>
#include <unordered_map>
#include <utility>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/concurrency/duty_thread.h"
#include "clementineloom/errors/run_state_name.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"
#include "net/exchange_id.h"
#include "net/io_ring.h"
#include "net/listen.h"
#include "rpc/detail/json_rpc_dispatcher.h"

namespace clementineloom::rpc {
namespace {

namespace asio = boost::asio;
namespace json = boost::json;
using boost::system::error_code;
using net::ExchangeId;
using Tcp = asio::ip::tcp;

struct Message {
  ExchangeId id;
  std::string text;
};

struct PendingCall {
  asio::steady_timer answered;
  std::optional<std::string> answer;
};

// The id of a request; null if it cannot be read, as JSON-RPC 2.0 demands.
json::value IdOf(const std::string& request) {
  error_code ec;
  const json::value value = json::parse(request, ec);
  const json::object* object = ec ? nullptr : value.if_object();
  const json::value* id = object == nullptr ? nullptr : object->if_contains("id");
  return id == nullptr ? json::value() : *id;
}

std::string FullRingAnswer(const std::string& request) {
  const json::object data{{"run_state", RunStateName(RunState::kDidNotRun)}};
  const json::object error{{"code", static_cast<unsigned>(ResultCode::kQueueFull)},
                           {"message", "call ring is full"},
                           {"data", data}};
  return json::serialize(json::object{{"jsonrpc", "2.0"}, {"id", IdOf(request)}, {"error", error}});
}

}  // namespace

class RpcServer::Impl {
 public:
  Impl(RpcServerOptions options, const std::vector<std::string>& methods, Handler handler)
      : options_(std::move(options)),
        dispatcher_(methods, std::move(handler)),
        acceptor_(context_),
        work_(asio::make_work_guard(context_)),
        calls_(options_.call_ring),
        answers_(context_, options_.call_ring,
                 [this](Message message) { Deliver(std::move(message)); }) {}

  ~Impl() {
    calls_.Close();
    answers_.Close();
    handler_threads_.clear();
    work_.reset();
    context_.stop();
  }

  Result<void> Listen() {
    BOOST_LEAF_CHECK(net::Listen(acceptor_, options_.address, options_.port));
    port_ = acceptor_.local_endpoint().port();
    return {};
  }

  void StartThreads() {
    asio::co_spawn(context_, Accept(), asio::detached);
    io_thread_.emplace("rpc-io", [this] { context_.run(); });
    for (std::size_t n = 0; n < options_.handler_threads; ++n) {
      handler_threads_.emplace_back("rpc-" + std::to_string(n), [this] { HandleCalls(); });
    }
  }

  std::uint16_t port() const { return port_; }

 private:
  static constexpr std::uint32_t kLogLinesPerSecond = 1;

  void HandleCalls() {
    while (auto call = calls_.Pop()) {
      (void)answers_.Push({call->id, dispatcher_.Dispatch(call->text)});
    }
  }

  asio::awaitable<void> Accept() {
    for (;;) {
      error_code ec;
      Tcp::socket socket =
          co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        // The usual cause is a lack of file descriptors; accepting again at once would spin.
        asio::steady_timer pause(context_, std::chrono::milliseconds(50));
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
      } else if (connections_ < options_.max_connections) {
        asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
      } else {
        LogRefusedConnection();
      }
    }
  }

  void LogRefusedConnection() {
    if (log_budget_.Allow(std::chrono::steady_clock::now())) {
      logging::LogEvent(
          logging::LogLevel::kWarning, "rpc_connection_refused",
          {{"max_connections", options_.max_connections}, {"left_out", log_budget_.TakeLeftOut()}});
    }
  }

  asio::awaitable<void> Serve(Tcp::socket socket) {
    ++connections_;
    error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    std::string buf;
    while (!ec) {
      const std::size_t n = co_await asio::async_read_until(
          socket, asio::dynamic_buffer(buf, options_.max_message_bytes), '\n',
          asio::redirect_error(asio::use_awaitable, ec));
      if (ec) {
        break;
      }
      std::string answer = co_await Exchange(buf.substr(0, n));
      buf.erase(0, n);
      if (!answer.ends_with('\n')) {
        answer += '\n';
      }
      co_await asio::async_write(socket, asio::buffer(answer),
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    --connections_;
  }

  asio::awaitable<std::string> Exchange(std::string text) {
    const ExchangeId id(++last_exchange_);
    PendingCall pending{asio::steady_timer(context_, asio::steady_timer::time_point::max()),
                        std::nullopt};
    pending_.emplace(id, &pending);
    if (!calls_.TryPush({id, text})) {
      pending_.erase(id);
      co_return FullRingAnswer(text);
    }
    while (!pending.answer) {
      error_code ec;
      co_await pending.answered.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return std::move(*pending.answer);
  }

  void Deliver(Message message) {
    const auto it = pending_.find(message.id);
    it->second->answer.emplace(std::move(message.text));
    it->second->answered.cancel();
    pending_.erase(it);
  }

  const RpcServerOptions options_;
  const detail::JsonRpcDispatcher dispatcher_;
  asio::io_context context_{1};
  Tcp::acceptor acceptor_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  BoundedRing<Message> calls_;
  net::IoRing<Message> answers_;
  std::unordered_map<ExchangeId, PendingCall*> pending_;
  std::size_t connections_ = 0;
  logging::EventBudget log_budget_{kLogLinesPerSecond};
  std::uint64_t last_exchange_ = 0;
  std::uint16_t port_ = 0;
  std::vector<DutyThread> handler_threads_;
  // Last, so that it is joined before anything that it uses is destroyed.
  std::optional<DutyThread> io_thread_;
};

Result<std::unique_ptr<RpcServer>> RpcServer::Start(RpcServerOptions options,
                                                    const std::vector<std::string>& methods,
                                                    Handler handler) {
  auto impl = std::make_unique<Impl>(std::move(options), methods, std::move(handler));
  BOOST_LEAF_CHECK(impl->Listen());
  impl->StartThreads();
  return std::unique_ptr<RpcServer>(new RpcServer(std::move(impl)));
}

RpcServer::RpcServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
RpcServer::~RpcServer() = default;

std::uint16_t RpcServer::port() const { return impl_->port(); }

}  // namespace clementineloom::rpc
