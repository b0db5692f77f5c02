#include "net/http_server.h"

#include <atomic>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <cstddef>
#include <optional>
#include <set>
#include <utility>

#include "clementineloom/concurrency/duty_thread.h"
#include "net/detail/beast_conversion.h"
#include "net/detail/drain_signal.h"
#include "net/detail/pending_exchanges.h"
#include "net/detail/read_error.h"
#include "net/detail/server_session.h"
#include "net/io_ring.h"
#include "net/listen.h"
#include "net/refusal_response.h"
#include "net/server_answer.h"

namespace clementineloom::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

using detail::ServerSession;

}  // namespace

class HttpServer::Impl {
 public:
  Impl(HttpServerOptions options, Sink sink, RefusalObserver observer)
      : options_(std::move(options)),
        sink_(std::move(sink)),
        observer_(std::move(observer)),
        acceptor_(context_),
        work_(asio::make_work_guard(context_)),
        exchanges_(context_),
        answers_(context_, options_.answer_ring,
                 [this](ServerAnswer answer) { exchanges_.Deliver(std::move(answer)); }) {}

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
        AcceptBacklog();
        error_code ec;
        acceptor_.close(ec);
        asio::co_spawn(context_, CloseIdle(), asio::detached);
      }
    });
  }

  bool WaitDrained(std::chrono::milliseconds timeout) { return drained_.WaitFor(timeout); }

  std::uint16_t port() const { return port_; }

 private:
  // Pause after a failed accept, usually for lack of file descriptors: retrying at once would
  // busy-loop.
  static constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
  // Bytes of the first read of a request.
  static constexpr std::size_t kReadSize = 4'096;

  // Accepts the connections in the kernel's backlog, which closing the acceptor would reset.
  void AcceptBacklog() {
    error_code ec;
    acceptor_.non_blocking(true, ec);
    while (!ec && sessions_.size() < options_.max_connections) {
      Tcp::socket socket(context_);
      acceptor_.accept(socket, ec);
      if (!ec) {
        StartSession(std::move(socket));
      }
    }
  }

  asio::awaitable<void> CloseIdle() {
    error_code ec;
    asio::steady_timer grace(context_, options_.drain_grace);
    co_await grace.async_wait(asio::redirect_error(asio::use_awaitable, ec));
    is_grace_over_ = true;
    for (ServerSession* it : sessions_) {
      if (it->is_idle) {
        it->stream.cancel();
      }
    }
    NotifyIfDrained();
  }

  void StartSession(Tcp::socket socket) {
    error_code ec;
    socket.set_option(Tcp::no_delay(true), ec);
    asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
  }

  asio::awaitable<void> Accept() {
    while (acceptor_.is_open()) {
      error_code ec;
      Tcp::socket socket =
          co_await acceptor_.async_accept(asio::redirect_error(asio::use_awaitable, ec));
      if (is_draining_) {
        if (!ec) {
          StartSession(std::move(socket));
        }
        co_return;
      }
      if (ec) {
        asio::steady_timer pause(context_, kAcceptRetryDelay);
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ec));
        continue;
      }
      if (sessions_.size() >= options_.max_connections) {
        Observe(ResultCode::kOverloaded);
        continue;  // Closes the socket.
      }
      StartSession(std::move(socket));
    }
  }

  asio::awaitable<void> Serve(Tcp::socket socket) {
    ServerSession session{beast::tcp_stream(std::move(socket)), asio::steady_timer(context_)};
    sessions_.insert(&session);
    beast::flat_buffer buf;
    bool keep_alive = true;
    while (keep_alive && (!is_grace_over_ || HasInput(session))) {
      keep_alive = co_await ServeOne(session, buf);
    }
    error_code ec;
    session.stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
    sessions_.erase(&session);
    NotifyIfDrained();
  }

  // Whether the kernel holds unread bytes. A delayed I/O thread may handle the end of the grace
  // period before the input that arrived in the meantime.
  static bool HasInput(ServerSession& session) {
    error_code ec;
    return session.stream.socket().available(ec) > 0;
  }

  // Serves the next request. Returns whether the connection stays open.
  asio::awaitable<bool> ServeOne(ServerSession& session, beast::flat_buffer& buf) {
    session.is_idle = true;
    if (buf.size() == 0) {
      if (const error_code ec = co_await AwaitInput(session, buf)) {
        // Input that arrived before the end of the grace period is still served.
        const bool may_have_input = is_grace_over_ && ec == asio::error::operation_aborted;
        co_return may_have_input;
      }
    }
    session.is_idle = false;
    http::request_parser<http::string_body> parser;
    if (const error_code ec = co_await ReadRequest(session, buf, parser)) {
      co_await RefuseUnread(session, ec);
      co_return false;
    }
    const bool wants_keep_alive = parser.get().keep_alive();
    const bool is_head = parser.get().method() == http::verb::head;
    const HttpResponse response = co_await Exchange(detail::FromBeast(parser.release()));
    const bool keep_alive = wants_keep_alive && !is_draining_ && !response.closes_connection;
    co_return co_await Write(session, response, is_head, keep_alive) && keep_alive;
  }

  asio::awaitable<error_code> AwaitInput(ServerSession& session, beast::flat_buffer& buf) {
    error_code ec;
    session.stream.expires_after(options_.idle_timeout);
    const std::size_t n = co_await session.stream.async_read_some(
        buf.prepare(kReadSize), asio::redirect_error(asio::use_awaitable, ec));
    buf.commit(n);
    co_return ec;
  }

  asio::awaitable<error_code> ReadRequest(ServerSession& session, beast::flat_buffer& buf,
                                          http::request_parser<http::string_body>& parser) {
    error_code ec;
    parser.header_limit(static_cast<std::uint32_t>(options_.max_header_bytes));
    parser.body_limit(options_.max_body_bytes);
    StartDeadline(session);
    co_await http::async_read(session.stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    session.receiving_request = 0;
    session.deadline.cancel();
    co_return ec;
  }

  asio::awaitable<void> RefuseUnread(ServerSession& session, error_code ec) {
    if (session.is_late || !detail::IsDisconnect(ec)) {
      const Refusal refusal =
          detail::RefusalOfReadError(session.is_late ? error_code(beast::error::timeout) : ec);
      Observe(refusal.code);
      co_await Write(session, RefusalResponse(refusal), false, false);
    }
  }

  void StartDeadline(ServerSession& session) {
    session.stream.expires_never();
    session.receiving_request = ++last_request_;
    session.deadline.expires_after(options_.request_timeout);
    // The session may end before the handler runs, so the handler looks it up first.
    session.deadline.async_wait([this, it = &session, n = last_request_](const error_code& ec) {
      if (!ec && sessions_.contains(it) && it->receiving_request == n) {
        it->is_late = true;
        it->stream.cancel();
      }
    });
  }

  asio::awaitable<HttpResponse> Exchange(HttpRequest request) {
    auto response = co_await exchanges_.Wait([this, &request](ExchangeId id) {
      return sink_(ServerRequest{id, std::move(request)});
    });
    if (!response) {
      Observe(ResultCode::kQueueFull);
      co_return RefusalResponse(
          {ResultCode::kQueueFull, RunState::kDidNotRun, "request ring is full"});
    }
    co_return std::move(*response);
  }

  asio::awaitable<bool> Write(ServerSession& session, const HttpResponse& response, bool is_head,
                              bool keep_alive) {
    error_code ec;
    const auto message =
        is_head ? detail::HeadToBeast(response, keep_alive) : detail::ToBeast(response, keep_alive);
    http::response_serializer<http::string_body> serializer(message);
    serializer.split(is_head);
    session.stream.expires_after(options_.request_timeout);
    if (is_head) {
      co_await http::async_write_header(session.stream, serializer,
                                        asio::redirect_error(asio::use_awaitable, ec));
    } else {
      co_await http::async_write(session.stream, serializer,
                                 asio::redirect_error(asio::use_awaitable, ec));
    }
    co_return !ec;
  }

  void Observe(ResultCode code) {
    if (observer_) {
      observer_(code);
    }
  }

  void NotifyIfDrained() {
    if (is_grace_over_ && sessions_.empty()) {
      drained_.Set();
    }
  }

  const HttpServerOptions options_;
  const Sink sink_;
  const RefusalObserver observer_;
  asio::io_context context_{1};
  Tcp::acceptor acceptor_;
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  detail::PendingExchanges exchanges_;
  IoRing<ServerAnswer> answers_;
  std::set<ServerSession*> sessions_;
  std::uint64_t last_request_ = 0;
  bool is_draining_ = false;
  bool is_grace_over_ = false;
  std::uint16_t port_ = 0;
  detail::DrainSignal drained_;

  // Declared last, so that it is joined before the members that it uses are destroyed.
  std::optional<DutyThread> thread_;
};

Result<std::unique_ptr<HttpServer>> HttpServer::Start(const std::string& name,
                                                      HttpServerOptions options, Sink sink,
                                                      RefusalObserver observer) {
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

std::uint16_t HttpServer::port() const { return impl_->port(); }

}  // namespace clementineloom::net
