#include "net/http_client.h"

#include <algorithm>
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
#include <exception>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "clementineloom/concurrency/duty_thread.h"
#include "net/detail/beast_conversion.h"
#include "net/detail/idle_connections.h"
#include "net/io_ring.h"
#include "net/parse_endpoint.h"

namespace clementineloom::net {
namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

// Correlation id of a request; an upstream that echoes another id has answered another request.
constexpr std::string_view kCorrelationHeader = "X-Request-Id";
// Pause before another attempt to open a socket while all file descriptors are in use.
constexpr std::chrono::milliseconds kDescriptorPause{10};
// Idle connections that are closed at once to free file descriptors.
constexpr std::size_t kConnectionsToClose = 64;

struct Connection {
  explicit Connection(asio::io_context& context) : stream(context) {}

  beast::tcp_stream stream;
};

using ConnectionPtr = std::unique_ptr<Connection>;

// Whether an idle connection can be used: not if the peer closed it or sent unrequested data.
bool IsUsable(Connection& connection) {
  auto& socket = connection.stream.socket();
  error_code ec;
  socket.non_blocking(true, ec);
  char byte = 0;
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
  return ec == asio::error::would_block;
}

Refusal RefusalOfExchange(const error_code& ec, bool has_begun_answer) {
  if (ec == beast::error::timeout) {
    return {ResultCode::kUpstreamTimedOut, RunState::kMayHaveRun, "no complete answer in time"};
  }
  if (has_begun_answer) {
    return {ResultCode::kAnswerTruncated, RunState::kMayHaveRun, ec.message()};
  }
  return {ResultCode::kUpstreamFailed, RunState::kMayHaveRun, ec.message()};
}

// What an error of an attempt to connect shows. Others have local causes.
ConnectionFailure FailureOfConnect(const error_code& ec) {
  if (ec == asio::error::connection_refused) {
    return ConnectionFailure::kRefused;
  }
  const bool is_unanswered = ec == beast::error::timeout || ec == asio::error::timed_out ||
                             ec == asio::error::host_unreachable;
  return is_unanswered ? ConnectionFailure::kUnreachable : ConnectionFailure::kNone;
}

// What an error of an exchange on an open connection shows.
ConnectionFailure FailureOfExchange(const error_code& ec) {
  const bool is_closed = ec == http::error::end_of_stream || ec == http::error::partial_message ||
                         ec == asio::error::eof;
  return is_closed ? ConnectionFailure::kClosedByPeer : ConnectionFailure::kNone;
}

// Returns the encoded request, or nothing if it cannot be encoded, for example because a field is
// too long. The exception is caught here, because it would end the call's coroutine without a
// result.
std::optional<detail::BeastRequest> EncodeRequest(const ClientCall& call) {
  try {
    return detail::ToBeast(call.request, call.address);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

class HttpClient::Impl {
 public:
  Impl(const std::string& name, HttpClientOptions options, Sink sink)
      : options_(options),
        sink_(std::move(sink)),
        work_(asio::make_work_guard(context_)),
        idle_(options.max_idle_per_address, options.max_idle_in_total),
        calls_(context_, options.call_ring,
               [this](ClientCall call) {
                 asio::co_spawn(context_, Run(std::move(call)), asio::detached);
               }),
        thread_(name, [this] { context_.run(); }) {}

  ~Impl() {
    calls_.Close();
    work_.reset();
    context_.stop();
  }

  bool Send(ClientCall call) { return calls_.TryPush(std::move(call)); }

 private:
  asio::awaitable<void> Run(ClientCall call) {
    const auto deadline = Clock::now() + call.timeout;
    const CallId id = call.id;
    const auto message = EncodeRequest(call);
    if (!message) {
      sink_(
          {id, std::nullopt,
           Refusal{ResultCode::kInvalidValue, RunState::kDidNotRun, "request cannot be written"}});
      co_return;
    }
    error_code ec;
    ConnectionPtr connection = TakeIdle(call.address, call.max_idle);
    if (connection == nullptr) {
      connection = co_await Connect(call, deadline, ec);
    }
    if (connection == nullptr) {
      // Nothing was sent, so the request cannot have run.
      sink_({id, std::nullopt,
             Refusal{ResultCode::kUpstreamFailed, RunState::kDidNotRun, "connect: " + ec.message()},
             FailureOfConnect(ec)});
      co_return;
    }
    sink_(co_await Exchange(std::move(connection), call, *message, deadline));
  }

  ConnectionPtr TakeIdle(const std::string& address, std::chrono::milliseconds max_idle) {
    const auto since = Clock::now() - std::min(options_.max_idle, max_idle);
    ConnectionPtr connection = idle_.TakeNewest(address, since);
    while (connection != nullptr && !IsUsable(*connection)) {
      connection = idle_.TakeNewest(address, since);
    }
    return connection;
  }

  asio::awaitable<ConnectionPtr> Connect(const ClientCall& call, Clock::time_point deadline,
                                         error_code& ec) {
    const auto endpoint = CatchRefusal(
        [&]() -> Result<std::optional<Tcp::endpoint>> {
          BOOST_LEAF_AUTO(parsed, ParseEndpoint(call.address));
          return std::optional(parsed);
        },
        [](const Refusal&) { return std::optional<Tcp::endpoint>(); });
    if (!endpoint) {
      ec = asio::error::invalid_argument;
      co_return nullptr;
    }
    const auto connect_until = std::min(deadline, Clock::now() + options_.connect_timeout);
    ConnectionPtr connection = co_await ConnectOnce(*endpoint, connect_until, ec);
    while (ec == asio::error::no_descriptors && Clock::now() + kDescriptorPause < connect_until) {
      idle_.CloseOldest(kConnectionsToClose);
      co_await Pause(kDescriptorPause);
      connection = co_await ConnectOnce(*endpoint, connect_until, ec);
    }
    co_return connection;
  }

  asio::awaitable<ConnectionPtr> ConnectOnce(const Tcp::endpoint& endpoint,
                                             Clock::time_point deadline, error_code& ec) {
    auto connection = std::make_unique<Connection>(context_);
    connection->stream.expires_at(deadline);
    co_await connection->stream.async_connect(endpoint,
                                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return nullptr;
    }
    error_code ignored;
    connection->stream.socket().set_option(Tcp::no_delay(true), ignored);
    co_return connection;
  }

  asio::awaitable<void> Pause(std::chrono::milliseconds time) {
    asio::steady_timer timer(context_, time);
    error_code ignored;
    co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
  }

  asio::awaitable<ClientResult> Exchange(ConnectionPtr connection, const ClientCall& call,
                                         const detail::BeastRequest& message,
                                         Clock::time_point deadline) {
    error_code ec;
    connection->stream.expires_at(deadline);
    co_await http::async_write(connection->stream, message,
                               asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      co_return ClientResult{call.id, std::nullopt, RefusalOfExchange(ec, false)};
    }
    beast::flat_buffer buf;
    http::response_parser<http::string_body> parser;
    parser.body_limit(options_.max_response_bytes);
    parser.skip(call.request.method == "HEAD");
    co_await http::async_read(connection->stream, buf, parser,
                              asio::redirect_error(asio::use_awaitable, ec));
    if (ec) {
      if (ec == beast::error::timeout) {
        // The cause of the timeout may affect the other open connections to this address too.
        idle_.Close(call.address);
      }
      co_return ClientResult{call.id, std::nullopt, RefusalOfExchange(ec, parser.got_some()),
                             FailureOfExchange(ec)};
    }
    const bool keep_alive = parser.get().keep_alive() && buf.size() == 0;
    HttpResponse response = call.request.method == "HEAD" ? detail::HeadFromBeast(parser.release())
                                                          : detail::FromBeast(parser.release());
    if (!IsAnswerTo(call.request, response)) {
      co_return ClientResult{call.id, std::nullopt,
                             Refusal{ResultCode::kUpstreamFailed, RunState::kMayHaveRun,
                                     "answer carries the id of another request"}};
    }
    if (keep_alive) {
      KeepIdle(call.address, std::move(connection));
    }
    co_return ClientResult{call.id, std::move(response), std::nullopt};
  }

  static bool IsAnswerTo(const HttpRequest& request, const HttpResponse& response) {
    const std::string_view sent = request.headers.Find(kCorrelationHeader);
    const std::string_view echoed = response.headers.Find(kCorrelationHeader);
    // A server may assign an id to a request that has none.
    return sent.empty() || echoed.empty() || echoed == sent;
  }

  void KeepIdle(const std::string& address, ConnectionPtr connection) {
    const auto now = Clock::now();
    idle_.CloseOlderThan(now - options_.max_idle);
    connection->stream.expires_never();
    idle_.Add(address, std::move(connection), now);
    StartReaper();
  }

  // Runs only while there are idle connections, so that an idle process does not wake up.
  void StartReaper() {
    if (is_reaping_) {
      return;
    }
    is_reaping_ = true;
    reaper_.expires_after(options_.max_idle);
    reaper_.async_wait([this](const error_code& ec) {
      if (!ec) {
        is_reaping_ = false;
        CloseOldConnections();
      }
    });
  }

  void CloseOldConnections() {
    idle_.CloseOlderThan(Clock::now() - options_.max_idle);
    if (!idle_.empty()) {
      StartReaper();
    }
  }

  const HttpClientOptions options_;
  const Sink sink_;
  asio::io_context context_{1};
  asio::executor_work_guard<asio::io_context::executor_type> work_;
  detail::IdleConnections<Connection> idle_;
  asio::steady_timer reaper_{context_};
  bool is_reaping_ = false;
  IoRing<ClientCall> calls_;
  // Declared last, so that it is joined before the members that it uses are destroyed.
  DutyThread thread_;
};

HttpClient::HttpClient(const std::string& name, HttpClientOptions options, Sink sink)
    : impl_(std::make_unique<Impl>(name, options, std::move(sink))) {}

HttpClient::~HttpClient() = default;

bool HttpClient::Send(ClientCall call) { return impl_->Send(std::move(call)); }

}  // namespace clementineloom::net
