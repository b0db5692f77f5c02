#pragma once

#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <cstdint>

namespace clementineloom::net::detail {

/// @brief A connection of the HTTP server; stored in the frame of the coroutine that serves it.
/// Thread safety: none; use from the server's I/O thread.
struct ServerSession {
  boost::beast::tcp_stream stream;
  /// Limits the time to wait for a request and to receive it. The stream's own timeout would close
  /// the socket, so that received input would be lost and no refusal could be sent to the caller.
  boost::asio::steady_timer timer;
  /// Whether the connection waits for the first bytes of a request.
  bool is_idle = false;
  /// Whether the connection is to be closed once all requests that were received are answered.
  bool is_closing = false;
  /// Whether an answer that announces the end of the connection was written.
  bool has_last_answer = false;
  /// Number of the request being received, 0 for none.
  std::uint64_t receiving_request = 0;
  bool is_late = false;
  /// Whether unread input is a further request: not after a request that could not be read, or with
  /// which the caller asked to close the connection.
  bool may_have_next = true;
};

}  // namespace clementineloom::net::detail
