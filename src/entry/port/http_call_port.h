#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <string>
#include <unordered_map>

#include "clementineloom/concurrency/bounded_ring.h"
#include "entry/entry_event.h"
#include "entry/port/boot_clock.h"
#include "entry/port/call_port.h"
#include "entry/port/timer_queue.h"
#include "net/http_client.h"

namespace clementineloom::entry {

/// @brief CallPort of the entry daemon: an HTTP client whose results arrive as events on the ring
/// of the thread that owns the port.
///
/// Thread safety: none; the client's own thread only pushes to the ring.
class HttpCallPort {
 public:
  explicit HttpCallPort(BoundedRing<EntryEvent>& events);

  void Call(const std::string& address, net::HttpRequest request, workload::Milliseconds timeout,
            CallHandler handler);
  void After(workload::Milliseconds delay, std::function<void()> action);

  [[nodiscard]] workload::SteadyTime Now() const { return BootClock::Now(); }
  [[nodiscard]] std::int64_t UnixNowMs() const;

  /// @brief Runs the handler of a call. Results of unknown calls are ignored.
  void Deliver(const net::ClientResult& result);

  [[nodiscard]] TimerQueue& timers() { return timers_; }

 private:
  std::uint64_t last_call_ = 0;
  std::unordered_map<std::uint64_t, CallHandler> handlers_;
  TimerQueue timers_;
  // Declared last, so that its thread ends before the other members are destroyed.
  net::HttpClient client_;
};

static_assert(CallPort<HttpCallPort>);

}  // namespace clementineloom::entry
