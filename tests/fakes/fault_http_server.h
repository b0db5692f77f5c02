#pragma once

#include <boost/asio/any_io_executor.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "clementineloom/errors/result.h"
#include "fakes/reply.h"
#include "net/http_request.h"

namespace clementineloom::fakes {

/// @brief An HTTP/1.1 server with one I/O thread that injects connection faults.
///
/// The daemons' net::HttpServer cannot lose an answer or leave a connection unanswered, and does
/// not need to, so these faults are injected here. The handler runs on the I/O thread, so that a
/// stand-in's state needs no lock. POST /v1/faults changes ConnectionFaults, or leaves every open
/// connection except its own unanswered ("silent": true), and is then passed to the handler, which
/// reads the keys that it defines.
///
/// Thread safety: every member may be called from any thread.
class FaultHttpServer {
 public:
  /// Handles a request; calls the reply exactly once, immediately or later.
  using Handler = std::function<void(const net::HttpRequest&, Reply)>;

  /// @param name of the I/O thread, at most 15 characters
  /// @param listen IP:PORT; port 0 lets the kernel choose
  /// @param fault_keys keys of /v1/faults that the handler knows; others are refused
  /// Errors: kAddressNotNumeric, kInvalidValue (the address cannot be bound).
  [[nodiscard]] static Result<std::unique_ptr<FaultHttpServer>> Start(
      const std::string& name, const std::string& listen, std::vector<std::string> fault_keys,
      Handler handler);

  ~FaultHttpServer();
  FaultHttpServer(const FaultHttpServer&) = delete;
  FaultHttpServer& operator=(const FaultHttpServer&) = delete;

  /// @brief Ends the I/O thread; no handler runs afterwards.
  void Stop();

  [[nodiscard]] std::uint16_t port() const;

  /// @brief Executor for timers of the handler, which must be destroyed before the server.
  [[nodiscard]] boost::asio::any_io_executor executor() const;

 private:
  class Impl;
  explicit FaultHttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::fakes
