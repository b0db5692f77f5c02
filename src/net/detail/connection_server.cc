#include "net/detail/connection_server.h"

#include <algorithm>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/write.hpp>
#include <chrono>
#include <exception>
#include <optional>
#include <string>
#include <utility>

#include "net/detail/beast_conversion.h"
#include "net/detail/read_error.h"
#include "net/refusal_response.h"

namespace clementineloom::net::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using boost::system::error_code;

namespace {

// Bytes of the first read of a request.
constexpr std::size_t kReadSize = 4'096;

// Whether bytes were received that belong to no request served so far, in the buffer or in the
// kernel. A delayed I/O thread may handle the end of the grace period before the input that arrived
// in the meantime.
bool HasInput(ServerSession& session, const beast::flat_buffer& buf) {
  error_code ec;
  return buf.size() > 0 || session.stream.socket().available(ec) > 0;
}

// Encodes an answer, or nothing if that is impossible, for example because a field is too long. The
// exception is caught here, because it would end the connection without an answer.
std::optional<BeastResponse> EncodeAnswer(const HttpResponse& response, bool is_head,
                                          bool keep_alive) {
  try {
    return is_head ? HeadToBeast(response, keep_alive) : ToBeast(response, keep_alive);
  } catch (const std::exception&) {
    return std::nullopt;
  }
}

}  // namespace

ConnectionServer::ConnectionServer(asio::io_context& context, const HttpServerOptions& options,
                                   Sink sink, ServerObserver observer)
    : context_(context),
      options_(options),
      sink_(std::move(sink)),
      ledger_(std::move(observer)),
      exchanges_(context) {}

void ConnectionServer::Start(Tcp::socket socket) {
  error_code ec;
  socket.set_option(Tcp::no_delay(true), ec);
  asio::co_spawn(context_, Serve(std::move(socket)), asio::detached);
}

void ConnectionServer::CloseIdle() {
  is_grace_over_ = true;
  for (ServerSession* it : sessions_) {
    if (it->is_idle) {
      it->stream.cancel();
    }
  }
  NotifyIfDrained();
}

void ConnectionServer::LimitDrain() {
  is_drain_limited_ = true;
  for (ServerSession* it : sessions_) {
    if (it->receiving_request != 0) {
      it->is_late = true;
      it->stream.cancel();
    }
  }
}

std::size_t ConnectionServer::size() const {
  return static_cast<std::size_t>(
      std::count_if(sessions_.begin(), sessions_.end(),
                    [](const ServerSession* it) { return !it->has_last_answer; }));
}

asio::awaitable<void> ConnectionServer::Serve(Tcp::socket socket) {
  ServerSession session{beast::tcp_stream(std::move(socket)), asio::steady_timer(context_)};
  const SessionEntry entry(*this, session);
  Buffer buf;
  bool keep_alive = true;
  while (keep_alive && (!is_grace_over_ || HasInput(session, buf))) {
    keep_alive = co_await ServeOne(session, buf);
  }
  error_code ec;
  session.stream.socket().shutdown(Tcp::socket::shutdown_send, ec);
  if (session.has_last_answer) {
    co_await DiscardInput(session, buf);
  }
  NoteDiscarded(session, buf);
}

// Serves the next request. Returns whether the connection stays open.
asio::awaitable<bool> ConnectionServer::ServeOne(ServerSession& session, Buffer& buf) {
  if (buf.size() == 0) {
    if (const error_code ec = co_await AwaitInput(session, buf)) {
      // Input that arrived before the wait ended is still served, also if a delayed I/O thread
      // handles the end of the wait first.
      co_return ec == asio::error::operation_aborted&& HasInput(session, buf);
    }
  }
  Parser parser;
  if (const error_code ec = co_await ReadRequest(session, buf, parser)) {
    session.may_have_next = false;
    co_await RefuseUnread(session, parser, ec);
    co_return false;
  }
  session.may_have_next = parser.get().keep_alive();
  const bool is_head = parser.get().method() == http::verb::head;
  RequestRecord record(ledger_, std::string(parser.get().method_string()),
                       std::string(parser.get().target()));
  bool is_refused = false;
  const HttpResponse response = co_await Exchange(FromBeast(parser.release()), is_refused);
  session.is_closing = session.is_closing || is_draining_ || response.closes_connection;
  // An answer that closes the connection is the last one, so that it has to wait for the requests
  // that were received behind this one, unless their caller sends on and on.
  const bool keep_alive = session.may_have_next &&
                          (!session.is_closing || (!is_drain_limited_ && HasInput(session, buf)));
  auto message = EncodeAnswer(response, is_head, keep_alive);
  if (!message) {
    is_refused = true;
    ledger_.NoteRefusal(ResultCode::kOutcomeUnknown);
    const Refusal refusal{ResultCode::kOutcomeUnknown, RunState::kMayHaveRun,
                          "the answer cannot be written"};
    message = EncodeAnswer(RefusalResponse(refusal), is_head, keep_alive);
  }
  const bool is_written = message && co_await Write(session, *message, is_head);
  const auto outcome = is_refused ? RequestOutcome::kRefused : RequestOutcome::kAnswered;
  record.End(is_written ? outcome : RequestOutcome::kUnwritten);
  session.has_last_answer = is_written && !keep_alive;
  co_return is_written&& keep_alive;
}

// Reads the first bytes of a request, if they come within the idle timeout.
asio::awaitable<error_code> ConnectionServer::AwaitInput(ServerSession& session, Buffer& buf) {
  error_code ec;
  StartIdleTimer(session);
  const std::size_t n = co_await session.stream.async_read_some(
      buf.prepare(kReadSize), asio::redirect_error(asio::use_awaitable, ec));
  session.is_idle = false;
  session.timer.cancel();
  buf.commit(n);
  co_return ec;
}

// Cancels the wait for input once the connection has been idle for too long. The stream's own
// timeout would close the socket although input may have arrived.
void ConnectionServer::StartIdleTimer(ServerSession& session) {
  session.stream.expires_never();
  session.is_idle = true;
  session.timer.expires_after(options_.idle_timeout);
  session.timer.async_wait([this, it = &session](const error_code& ec) {
    if (!ec && sessions_.contains(it) && it->is_idle) {
      it->stream.cancel();
    }
  });
}

asio::awaitable<error_code> ConnectionServer::ReadRequest(ServerSession& session, Buffer& buf,
                                                          Parser& parser) {
  error_code ec;
  parser.header_limit(static_cast<std::uint32_t>(options_.max_header_bytes));
  parser.body_limit(options_.max_body_bytes);
  StartDeadline(session);
  ledger_.BeginReceipt();
  co_await http::async_read(session.stream, buf, parser,
                            asio::redirect_error(asio::use_awaitable, ec));
  ledger_.EndReceipt();
  session.receiving_request = 0;
  session.timer.cancel();
  co_return ec;
}

asio::awaitable<void> ConnectionServer::RefuseUnread(ServerSession& session, const Parser& parser,
                                                     error_code ec) {
  if (!session.is_late && IsDisconnect(ec)) {
    co_return;
  }
  const bool is_parsed = parser.is_header_done();
  RequestRecord record(ledger_, is_parsed ? std::string(parser.get().method_string()) : "",
                       is_parsed ? std::string(parser.get().target()) : "");
  const Refusal refusal =
      RefusalOfReadError(session.is_late ? error_code(beast::error::timeout) : ec);
  ledger_.NoteRefusal(refusal.code);
  const bool is_written = co_await Write(session, ToBeast(RefusalResponse(refusal), false), false);
  session.has_last_answer = is_written;
  record.End(is_written ? RequestOutcome::kRefused : RequestOutcome::kUnwritten);
}

// Reads until the caller closes the connection. Closing a socket with unread input, or one that
// receives input later, resets the connection, which destroys what the caller has not read of the
// last answer.
asio::awaitable<void> ConnectionServer::DiscardInput(ServerSession& session, Buffer& buf) {
  error_code ec;
  session.stream.expires_after(options_.linger_timeout);
  while (!ec) {
    // Keeps the first input only, which shows that there was some.
    Buffer further;
    Buffer& target = buf.size() == 0 ? buf : further;
    const std::size_t n = co_await session.stream.async_read_some(
        target.prepare(kReadSize), asio::redirect_error(asio::use_awaitable, ec));
    target.commit(n);
  }
}

void ConnectionServer::StartDeadline(ServerSession& session) {
  session.stream.expires_never();
  session.receiving_request = ++last_request_;
  session.timer.expires_after(options_.request_timeout);
  // The session may end before the handler runs, so the handler looks it up first.
  session.timer.async_wait([this, it = &session, n = last_request_](const error_code& ec) {
    if (!ec && sessions_.contains(it) && it->receiving_request == n) {
      it->is_late = true;
      it->stream.cancel();
    }
  });
}

asio::awaitable<HttpResponse> ConnectionServer::Exchange(HttpRequest request, bool& is_refused) {
  auto response = co_await exchanges_.Wait([this, &request](ExchangeId id) {
    return sink_(ServerRequest{id, std::move(request)});
  });
  is_refused = !response;
  if (is_refused) {
    ledger_.NoteRefusal(ResultCode::kQueueFull);
    co_return RefusalResponse(
        {ResultCode::kQueueFull, RunState::kDidNotRun, "request ring is full"});
  }
  co_return std::move(*response);
}

asio::awaitable<bool> ConnectionServer::Write(ServerSession& session, const BeastResponse& message,
                                              bool is_head) {
  error_code ec;
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

// Counts one request for the input that is left on a connection that ends.
void ConnectionServer::NoteDiscarded(ServerSession& session, const Buffer& buf) {
  if (session.may_have_next && HasInput(session, buf)) {
    RequestRecord(ledger_, {}, {}).End(RequestOutcome::kDiscarded);
  }
}

void ConnectionServer::NotifyIfDrained() {
  if (is_grace_over_ && sessions_.empty()) {
    drained_.Set();
  }
}

}  // namespace clementineloom::net::detail
