#pragma once

#include <concepts>
#include <utility>

#include "platform/worker_call.h"

namespace clementineloom::platform {

/// @brief Sends commands to many workers at a time without waiting for any of them.
///
/// Send returns false if the ring of calls is full; otherwise the call gets one WorkerResult, which
/// reaches the caller through the caller's own ring.
template <class T>
concept WorkerChannel = requires(T channel, WorkerCall call) {
  { channel.Send(std::move(call)) } -> std::same_as<bool>;
};

}  // namespace clementineloom::platform
