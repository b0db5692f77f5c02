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

/// @brief An HTTP/1.1 server of one I/O thread whose connections can be made to fail.
///
/// The daemons' net::HttpServer has no way to lose an answer or to fall silent, and needs none.
/// The handler runs on the I/O thread, so that a stand-in's state needs no lock. POST /v1/faults
/// changes ConnectionFaults, or makes every open connection but its own silent ("silent": true),
/// and is then handed to the handler, which reads the keys of its own.
///
/// Thread safety: every member may be called from any thread.
class FaultHttpServer {
 public:
  /// Takes a request and calls the reply once, at once or later.
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

  /// @brief For timers of the handler. The timers must be destroyed before the server.
  [[nodiscard]] boost::asio::any_io_executor executor() const;

 private:
  class Impl;
  explicit FaultHttpServer(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::fakes
