#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "clementineloom/errors/result.h"
#include "net/http_response.h"
#include "net/http_server_options.h"
#include "net/request_counts.h"
#include "net/server_observer.h"
#include "net/server_request.h"

namespace clementineloom::net {

/// @brief An HTTP/1.1 server with one I/O thread that passes complete requests to a sink.
///
/// Malformed input never reaches the sink: the server answers it with a refusal and its result
/// code. The sink runs on the I/O thread and must not block; if it returns false, the request is
/// answered with kQueueFull. Every accepted request must be answered exactly once with Answer.
///
/// Thread safety: Answer, BeginDrain and WaitDrained may be called from any thread.
class HttpServer {
 public:
  /// Accepts a request, or returns false if its queue is full.
  using Sink = std::function<bool(ServerRequest)>;

  /// @brief Binds, listens and starts the I/O thread.
  /// @param name of the I/O thread, at most 15 characters
  /// Errors: kAddressNotNumeric, kInvalidValue (the address cannot be bound).
  [[nodiscard]] static Result<std::unique_ptr<HttpServer>> Start(const std::string& name,
                                                                 HttpServerOptions options,
                                                                 Sink sink,
                                                                 ServerObserver observer = {});

  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Sends the answer of an exchange. An answer for a closed connection is dropped.
  void Answer(ExchangeId id, HttpResponse response);

  /// @brief Stops accepting, lets exchanges in progress finish and closes idle connections after
  /// HttpServerOptions::drain_grace. A request is still served if the kernel has received a byte of
  /// it by then, or by the time of the answer before it on its connection.
  void BeginDrain();

  /// @brief Waits until every connection is closed. Precondition: BeginDrain was called.
  /// @return false on timeout.
  [[nodiscard]] bool WaitDrained(std::chrono::milliseconds timeout);

  /// @brief Numbers of requests so far. Thread safety: may be called from any thread.
  [[nodiscard]] RequestCounts counts() const;

  /// @brief The port that the server listens on.
  [[nodiscard]] std::uint16_t port() const;

 private:
  class Impl;
  explicit HttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::net
