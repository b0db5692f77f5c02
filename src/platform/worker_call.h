#pragma once

#include <compare>
#include <string>

#include "net/call_id.h"
#include "platform/worker_command.h"

namespace clementineloom::platform {

/// @brief A command to be sent to a worker. An immutable value.
struct WorkerCall {
  net::CallId id;
  /// IP:PORT.
  std::string address;
  WorkerCommand command;

  friend auto operator<=>(const WorkerCall&, const WorkerCall&) = default;
};

}  // namespace clementineloom::platform
