#pragma once

#include <chrono>
#include <functional>
#include <string>

#include "net/http_client.h"
#include "platform/worker_call.h"
#include "platform/worker_result.h"

namespace clementineloom::platform {

/// @brief Sends commands of the worker protocol (docs/platform-protocol.md); a WorkerChannel.
///
/// Results have the codes that WorkerClient lists. They are given to the sink on the I/O thread;
/// to avoid a deadlock, the sink may wait only for a thread that never waits for this channel.
/// Thread safety: Send may be called from any thread.
class HttpWorkerChannel {
 public:
  using Sink = std::function<void(WorkerResult)>;

  /// @param thread_name of the I/O thread, at most 15 characters
  /// @param timeout of each call
  HttpWorkerChannel(const std::string& thread_name, std::chrono::milliseconds timeout, Sink sink);

  /// @return false if the ring of calls is full; the call then did not run.
  [[nodiscard]] bool Send(const WorkerCall& call);

 private:
  std::chrono::milliseconds timeout_;
  // Declared last: its thread ends before any other member is destroyed.
  net::HttpClient http_;
};

}  // namespace clementineloom::platform
