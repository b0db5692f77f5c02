#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

#include "clementineloom/errors/result.h"
#include "settings/scheduler_settings.h"

namespace clementineloom::scheduler {

/// @brief The duties of loom-scheduler: log follower, decision, append, task driver, operator RPC,
/// instance list and admin, joined by rings.
///
/// Thread safety: every member may be called from any thread, the destructor from one.
class Scheduler {
 public:
  /// @brief Starts all duties. Errors: those of HttpServer::Start and RpcServer::Start.
  [[nodiscard]] static Result<std::unique_ptr<Scheduler>> Start(
      const settings::SchedulerSettings& settings);

  /// @brief Stops all duties; work in progress is aborted unless Drain was called before.
  ~Scheduler();
  Scheduler(const Scheduler&) = delete;
  Scheduler& operator=(const Scheduler&) = delete;

  /// @brief Starts no new work and waits until work in progress is finished. @return false on
  /// timeout
  [[nodiscard]] bool Drain(std::chrono::milliseconds timeout);

  /// @brief The ports that the scheduler listens on.
  [[nodiscard]] std::uint16_t rpc_port() const;
  [[nodiscard]] std::uint16_t admin_port() const;

 private:
  class Impl;
  explicit Scheduler(std::unique_ptr<Impl> impl);

  std::unique_ptr<Impl> impl_;
};

}  // namespace clementineloom::scheduler
