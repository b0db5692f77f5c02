#pragma once

#include <chrono>
#include <concepts>
#include <cstdint>
#include <functional>
#include <string>

#include "clementineloom/workload/steady_time.h"
#include "net/client_result.h"
#include "net/http_request.h"

namespace clementineloom::entry {

/// Receives the result of a call; runs on the thread that owns the port.
using CallHandler = std::function<void(const net::ClientResult&)>;

/// @brief Environment of the entry daemon's components: calls, timers and clocks.
///
/// All members are called on one thread, and all handlers run there.
/// - Call sends a request and runs the handler once, never before Call returns.
/// - After runs a function once, after a delay.
/// - Now and UnixNowMs read the clocks. Now keeps advancing while the process is suspended, so that
///   events handled afterwards are recognised as old.
template <class P>
concept CallPort = requires(P port, std::string address, net::HttpRequest request,
                            workload::Milliseconds time, CallHandler handler,
                            std::function<void()> action) {
  port.Call(address, request, time, handler);
  port.After(time, action);
  { port.Now() } -> std::same_as<workload::SteadyTime>;
  { port.UnixNowMs() } -> std::same_as<std::int64_t>;
};

}  // namespace clementineloom::entry
