#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <memory>
#include <string>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"
#include "fakes/fault_http_server.h"
#include "platform/instance_list.h"

namespace clementineloom::fakes {

/// @brief A stand-in for the platform's instance list (docs/platform-protocol.md).
///
/// PUT /v1/instances replaces the list; the change is visible after the lag ("lag_ms" of
/// /v1/faults). The version counts the changes.
/// Thread safety: every member may be called from any thread.
class FakeInstancesServer {
 public:
  /// @param listen IP:PORT; port 0 lets the kernel choose
  [[nodiscard]] static Result<std::unique_ptr<FakeInstancesServer>> Start(
      const std::string& listen = "127.0.0.1:0");

  ~FakeInstancesServer();
  FakeInstancesServer(const FakeInstancesServer&) = delete;
  FakeInstancesServer& operator=(const FakeInstancesServer&) = delete;

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }

 private:
  using Clock = std::chrono::steady_clock;

  struct Change {
    Clock::time_point visible_at;
    platform::InstanceList list;
  };

  FakeInstancesServer() = default;
  [[nodiscard]] net::HttpResponse Handle(const net::HttpRequest& request);
  [[nodiscard]] net::HttpResponse Get();
  [[nodiscard]] Result<net::HttpResponse> Put(const codec::detail::JsonReader& json);
  [[nodiscard]] Result<net::HttpResponse> ChangeFaults(const codec::detail::JsonReader& json);

  std::uint64_t last_version_ = 0;
  std::chrono::milliseconds lag_{0};
  platform::InstanceList visible_;
  // Changes that are not visible yet, oldest first.
  std::deque<Change> changes_;
  std::unique_ptr<FaultHttpServer> server_;
};

}  // namespace clementineloom::fakes
