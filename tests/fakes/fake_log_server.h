#pragma once

#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"
#include "fakes/fault_http_server.h"
#include "fakes/stream_store.h"

namespace clementineloom::fakes {

/// @brief A stand-in for the platform's log service (docs/platform-protocol.md), in memory.
///
/// Thread safety: every member may be called from any thread.
class FakeLogServer {
 public:
  /// @param listen IP:PORT; port 0 lets the kernel choose
  [[nodiscard]] static Result<std::unique_ptr<FakeLogServer>> Start(
      const std::string& listen = "127.0.0.1:0");

  ~FakeLogServer();
  FakeLogServer(const FakeLogServer&) = delete;
  FakeLogServer& operator=(const FakeLogServer&) = delete;

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }

 private:
  // A read that waits for a record at or after from.
  struct Waiter {
    std::string stream;
    LogOffset from;
    std::size_t limit;
    Reply reply;
    boost::asio::steady_timer deadline;
  };

  FakeLogServer() = default;
  void Handle(const net::HttpRequest& request, Reply reply);
  [[nodiscard]] net::HttpResponse Append(const std::string& stream, const std::string& body);
  void Read(const std::string& stream, const std::string& target, Reply reply);
  void Wait(Waiter waiter, std::uint64_t wait_ms);
  void WakeReaders(const std::string& stream);
  [[nodiscard]] net::HttpResponse Answer(const std::string& stream, LogOffset from,
                                         std::size_t limit);
  [[nodiscard]] Result<net::HttpResponse> ChangeFaults(const codec::detail::JsonReader& json);

  std::unique_ptr<FaultHttpServer> server_;
  std::map<std::string, StreamStore> streams_;
  // After the server, so that the timers are destroyed before it.
  std::list<Waiter> waiters_;
};

}  // namespace clementineloom::fakes
