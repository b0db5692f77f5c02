#include "net/http_server.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <chrono>
#include <optional>
#include <utility>

#include "clementineloom/concurrency/duty_thread.h"
#include "net/detail/connection_server.h"
#include "net/io_ring.h"
#include "net/listen.h"
#include "net/server_answer.h"

namespace clementineloom::net {
namespace {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, Sink sink, ServerObserver observer)
      : options_(std::move(options)),
        connections_(context_, options_, std::move(sink), std::move(observer)),
        acceptor_(context_),
        work_(asio::make_work_guard(context_)),
        answers_(context_, options_.answer_ring,
                 [this](ServerAnswer answer) { connections_.Deliver(std::move(answer)); }) {}

  ~Impl() {
    answers_.Close();
    work_.reset();
    context_.stop();
  }

  Result<void> Listen() {
    BOOST_LEAF_CHECK(net::Listen(acceptor_, options_.address, options_.port));
    port_ = acceptor_.local_endpoint().port();
    return {};
  }

  void StartThread(const std::string& name) {
    asio::co_spawn(context_, Accept(), asio::detached);
    thread_.emplace(name, [this] { context_.run(); });
  }

  void Push(ServerAnswer answer) {
    // Blocks while the ring is full. No deadlock: the I/O thread never waits for a caller of
    // Answer.
    (void)answers_.Push(std::move(answer));
  }

  void BeginDrain() {
    asio::post(context_, [this] {
      if (!is_draining_) {
        is_draining_ = true;
        connections_.BeginDrain();
        AcceptBacklog();
        error_code ec;
        acceptor_.close(ec);
        asio::co_spawn(context_, EndDrain(), asio::detached);
      }
    });
  }

  bool WaitDrained(std::chrono::milliseconds timeout) { return connections_.WaitDrained(timeout); }

  RequestCounts counts() const { return connections_.counts(); }

  std::uint16_t port() const { return port_; }

 private:
  // Pause after a failed accept, usually for lack of file descriptors: retrying at once would
  // busy-loop.
  static constexpr std::chrono::milliseconds kAcceptRetryDelay{50};

  // Accepts the connections in the kernel's backlog, which closing the acceptor would reset.
  void AcceptBacklog() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec && connections_.size() < options_.max_connections) {
      Tcp::socket socket(context_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        connections_.Start(std::move(socket));
      }
    }
  }

  asio::awaitable<void> EndDrain() {
    error_code ec;
    asio::steady_timer timer(context_);
    const auto begun_at = asio::steady_timer::clock_type::now();
    timer.expires_at(begun_at + options_.drain_grace);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    connections_.CloseIdle();
    timer.expires_at(begun_at + options_.drain_limit);
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    connections_.LimitDrain();
  }

  asio::awaitable<void> Accept() {
    while (acceptor_.is_open()) {
      error_code ec;
      Tcp::socket socket =
          co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (is_draining_) {
        if (!ec) {
          connections_.Start(std::move(socket));
        }
        co_return;
      }
      if (ec) {
        asio::steady_timer pause(context_, kAcceptRetryDelay);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        continue;
      }
      if (connections_.size() >= options_.max_connections) {
        connections_.NoteRefusal(ResultCode::kOverloaded);
        continue;  // Closes the socket.
      }
      connections_.Start(std::move(socket));
    }
  }

  const HttpServerOptions options_;
  // Declared before the context, which destroys the frames of the connections' coroutines.
  detail::ConnectionServer connections_;
  asio::io_context context_{1};
  Tcp::acceptor acceptor_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  IoRing<ServerAnswer> answers_;
  bool is_draining_ = false;
  std::uint16_t port_ = 0;

  // Declared last, so that it is joined before the members that it uses are destroyed.
  std::optional<DutyThread> thread_;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Start(const std::string& name,
                                                      HttpServerOptions options, Sink sink,
                                                      ServerObserver observer) {
  auto impl = std::make_unique<Impl>(std::move(options), std::move(sink), std::move(observer));
  BOOST_LEAF_CHECK(impl->Listen());
  impl->StartThread(name);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(impl)));
}

HttpServer::HttpServer(std::unique_ptr<Impl> impl) : impl_(std::move(impl)) {}
HttpServer::~HttpServer() = default;

void HttpServer::Answer(ExchangeId id, HttpResponse response) {
  impl_->Push({id, std::move(response)});
}

void HttpServer::BeginDrain() { impl_->BeginDrain(); }

bool HttpServer::WaitDrained(std::chrono::milliseconds timeout) {
  return impl_->WaitDrained(timeout);
}

RequestCounts HttpServer::counts() const { return impl_->counts(); }

std::uint16_t HttpServer::port() const { return impl_->port(); }

}  // namespace clementineloom::net
