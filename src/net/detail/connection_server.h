#pragma once

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <set>

#include "net/detail/beast_conversion.h"
#include "net/detail/drain_signal.h"
#include "net/detail/pending_exchanges.h"
#include "net/detail/request_ledger.h"
#include "net/detail/request_record.h"
#include "net/detail/server_session.h"
#include "net/http_request.h"
#include "net/http_response.h"
#include "net/http_server_options.h"
#include "net/server_answer.h"
#include "net/server_observer.h"
#include "net/server_request.h"

namespace clementineloom::net::detail {

/// @brief Serves the connections of an HTTP server: reads requests, passes them to the sink, and
/// writes the answers.
///
/// Has to outlive the I/O context: the frames of its coroutines, which the context destroys, note
/// the outcomes of their requests.
/// Thread safety: use from the thread of the I/O context; counts and WaitDrained may be called from
/// any thread.
class ConnectionServer {
 public:
  using Tcp = boost::asio::ip::tcp;
  using Sink = std::function<bool(ServerRequest)>;

  ConnectionServer(boost::asio::io_context& context, const HttpServerOptions& options, Sink sink,
                   ServerObserver observer);

  /// @brief Serves a connection until it is closed.
  void Start(Tcp::socket socket);

  /// @brief Passes the answer of an exchange on. An answer that is not waited for is dropped.
  void Deliver(ServerAnswer answer) { exchanges_.Deliver(std::move(answer)); }

  /// @brief Number of connections that are served: those that only wait for their callers to close
  /// them do not count.
  [[nodiscard]] std::size_t size() const;

  /// @brief Reports a refusal of a connection.
  void NoteRefusal(ResultCode code) const { ledger_.NoteRefusal(code); }

  /// @brief Closes each connection after its next answer that no received input follows.
  void BeginDrain() { is_draining_ = true; }
  /// @brief Closes idle connections. Precondition: BeginDrain was called.
  void CloseIdle();
  /// @brief Closes each connection after its next answer, and refuses requests that are still being
  /// received. Precondition: CloseIdle was called.
  void LimitDrain();
  /// @brief Waits until every connection is closed after CloseIdle. @return false on timeout
  [[nodiscard]] bool WaitDrained(std::chrono::milliseconds timeout) {
    return drained_.WaitFor(timeout);
  }

  [[nodiscard]] RequestCounts counts() const { return ledger_.counts(); }

 private:
  using Buffer = boost::beast::flat_buffer;
  using Parser = boost::beast::http::request_parser<boost::beast::http::string_body>;

  // The entry of a session in sessions_, for as long as the frame that serves it exists.
  class SessionEntry {
   public:
    SessionEntry(ConnectionServer& server, ServerSession& session)
        : server_(server), session_(session) {
      server_.sessions_.insert(&session_);
    }
    ~SessionEntry() {
      server_.sessions_.erase(&session_);
      server_.NotifyIfDrained();
    }
    SessionEntry(const SessionEntry&) = delete;
    SessionEntry& operator=(const SessionEntry&) = delete;

   private:
    ConnectionServer& server_;
    ServerSession& session_;
  };

  boost::asio::awaitable<void> Serve(Tcp::socket socket);
  boost::asio::awaitable<bool> ServeOne(ServerSession& session, Buffer& buf);
  boost::asio::awaitable<boost::system::error_code> AwaitInput(ServerSession& session, Buffer& buf);
  boost::asio::awaitable<boost::system::error_code> ReadRequest(ServerSession& session, Buffer& buf,
                                                                Parser& parser);
  boost::asio::awaitable<void> RefuseUnread(ServerSession& session, const Parser& parser,
                                            boost::system::error_code ec);
  boost::asio::awaitable<HttpResponse> Exchange(HttpRequest request, bool& is_refused);
  boost::asio::awaitable<bool> Write(ServerSession& session, const BeastResponse& message,
                                     bool is_head);
  boost::asio::awaitable<void> DiscardInput(ServerSession& session, Buffer& buf);
  void StartIdleTimer(ServerSession& session);
  void StartDeadline(ServerSession& session);
  void NoteDiscarded(ServerSession& session, const Buffer& buf);
  void NotifyIfDrained();

  boost::asio::io_context& context_;
  const HttpServerOptions options_;
  const Sink sink_;
  RequestLedger ledger_;
  PendingExchanges exchanges_;
  std::set<ServerSession*> sessions_;
  std::uint64_t last_request_ = 0;
  bool is_draining_ = false;
  bool is_grace_over_ = false;
  bool is_drain_limited_ = false;
  DrainSignal drained_;
};

}  // namespace clementineloom::net::detail
