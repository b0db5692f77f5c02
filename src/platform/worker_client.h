#pragma once

#include <chrono>
#include <string>

#include "clementineloom/errors/result.h"
#include "net/blocking_http_client.h"
#include "platform/renew_command.h"
#include "platform/reserve_command.h"
#include "platform/start_command.h"
#include "platform/task_report.h"
#include "platform/worker_report.h"

namespace clementineloom::platform {

/// @brief Client of the workers' task protocol (docs/platform-protocol.md).
///
/// Every command is idempotent by its TaskKey, so it may be retried after any error. The
/// answer is the worker's report of the task after the command; an ended task is reported with its
/// state and is no error.
///
/// Errors of all calls: kWorkerUnreachable (no answer; the run state says whether the command may
/// have taken effect), kTokenSuperseded (the worker has seen a newer token of the job),
/// kReservationLapsed, kAcceleratorsNotFree, kUnknownJob (no task of the job), kWorkerRefused (any
/// other refusal or an unreadable answer).
///
/// Thread safety: none; each duty has its own.
/// @code
/// WorkerClient workers("tasks", std::chrono::milliseconds(500));
/// BOOST_LEAF_AUTO(report, workers.Reserve("127.0.0.1:8080", {key, 8, Duration(1'500)}));
/// @endcode
class WorkerClient {
 public:
  /// @param thread_name of the I/O thread, at most 15 characters
  /// @param timeout of each call
  WorkerClient(const std::string& thread_name, std::chrono::milliseconds timeout);

  /// @param address of the worker, IP:PORT
  [[nodiscard]] Result<TaskReport> Reserve(const std::string& address,
                                           const ReserveCommand& command);
  [[nodiscard]] Result<TaskReport> Start(const std::string& address, const StartCommand& command);
  [[nodiscard]] Result<TaskReport> Renew(const std::string& address, const RenewCommand& command);
  /// @brief Writes a checkpoint of a running task, which continues to run.
  [[nodiscard]] Result<TaskReport> Checkpoint(const std::string& address, const TaskKey& key);
  /// @brief Stops a task or releases a reservation. A job that the worker does not know is
  /// reported as kStopped, and a later start under the same key is refused.
  [[nodiscard]] Result<TaskReport> Stop(const std::string& address, const TaskKey& key);
  [[nodiscard]] Result<WorkerReport> Tasks(const std::string& address);

 private:
  [[nodiscard]] Result<std::string> Call(const std::string& address, net::HttpRequest request);
  [[nodiscard]] Result<TaskReport> Command(const std::string& address, const std::string& target,
                                           std::string body);

  net::BlockingHttpClient http_;
  std::chrono::milliseconds timeout_;
};

}  // namespace clementineloom::platform
