#pragma once

#include <cstdint>
#include <memory>

#include "clementineloom/errors/result.h"
#include "codec/detail/json_reader.h"
#include "fakes/fake_worker_options.h"
#include "fakes/fault_http_server.h"
#include "fakes/request_ledger.h"
#include "fakes/task_table.h"

namespace clementineloom::fakes {

/// @brief A stand-in for a platform worker (docs/platform-protocol.md): answers requests under
/// /serve/ and counts their runs, and runs tasks that do nothing but last for a time.
///
/// Thread safety: every member may be called from any thread.
class FakeWorkerServer {
 public:
  /// @brief Listens on a port of the loopback interface; 0 lets the kernel choose.
  [[nodiscard]] static Result<std::unique_ptr<FakeWorkerServer>> Start(std::uint16_t port);

  [[nodiscard]] static Result<std::unique_ptr<FakeWorkerServer>> Start(FakeWorkerOptions options);

  ~FakeWorkerServer();
  FakeWorkerServer(const FakeWorkerServer&) = delete;
  FakeWorkerServer& operator=(const FakeWorkerServer&) = delete;

  [[nodiscard]] std::uint16_t port() const { return server_->port(); }
  [[nodiscard]] const RequestLedger& ledger() const { return ledger_; }

 private:
  explicit FakeWorkerServer(FakeWorkerOptions options);
  [[nodiscard]] net::HttpResponse Handle(const net::HttpRequest& request);
  [[nodiscard]] net::HttpResponse Serve(const net::HttpRequest& request);
  [[nodiscard]] net::HttpResponse ShowLedger() const;
  [[nodiscard]] net::HttpResponse ShowTasks();
  [[nodiscard]] Result<platform::TaskReport> Command(const std::string& target,
                                                     const codec::detail::JsonReader& json);
  [[nodiscard]] Result<net::HttpResponse> ChangeFaults(const codec::detail::JsonReader& json);

  const FakeWorkerOptions options_;
  RequestLedger ledger_;
  TaskTable tasks_;
  bool refuse_start_ = false;
  bool fail_everything_ = false;
  // Last, so that its thread ends before anything that the handler uses is destroyed.
  std::unique_ptr<FaultHttpServer> server_;
};

}  // namespace clementineloom::fakes
