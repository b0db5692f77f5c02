#pragma once

#include <concepts>
#include <utility>

#include "platform/worker_call.h"

namespace clementineloom::platform {

/// @brief Sends commands to many workers at a time without waiting for any of them.
///
/// Send returns false if there is no room for the call; otherwise the call gets one WorkerResult,
/// which reaches the caller by its own ring.
template <class T>
concept WorkerChannel = requires(T channel, WorkerCall call) {
  { channel.Send(std::move(call)) } -> std::same_as<bool>;
};

}  // namespace clementineloom::platform
