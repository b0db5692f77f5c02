#include "entry/port/http_call_port.h"

#include <chrono>
#include <utility>

namespace clementineloom::entry {
namespace {

net::HttpClientOptions ClientOptions() {
  net::HttpClientOptions options;
  // Longer than connecting takes on a slow link, and a fraction of the shortest lease.
  options.connect_timeout = std::chrono::milliseconds(600);
  options.max_idle_per_address = 4;
  return options;
}

}  // namespace

HttpCallPort::HttpCallPort(BoundedRing<EntryEvent>& events)
    : client_("calls", ClientOptions(), [&events](net::ClientResult result) {
        // Does not block for long: the consumer drains the ring continuously and closes it last.
        (void)events.Push(std::move(result));
      }) {}

void HttpCallPort::Call(const std::string& address, net::HttpRequest request,
                        workload::Milliseconds timeout, CallHandler handler) {
  const net::CallId id(++last_call_);
  handlers_.emplace(id.value(), std::move(handler));
  net::ClientCall call{id, address, std::move(request), timeout};
  if (!client_.Send(std::move(call))) {
    timers_.Add(Now(), [this, id] {
      Deliver({id, std::nullopt,
               Refusal{ResultCode::kQueueFull, RunState::kDidNotRun, "ring of calls is full"}});
    });
  }
}

void HttpCallPort::After(workload::Milliseconds delay, std::function<void()> action) {
  timers_.Add(Now() + delay, std::move(action));
}

std::int64_t HttpCallPort::UnixNowMs() const {
  return std::chrono::duration_cast<std::chrono::milliseconds>(
             std::chrono::system_clock::now().time_since_epoch())
      .count();
}

void HttpCallPort::Deliver(const net::ClientResult& result) {
  const auto it = handlers_.find(result.id.value());
  if (it == handlers_.end()) {
    return;
  }
  const CallHandler handler = std::move(it->second);
  handlers_.erase(it);
  handler(result);
}

}  // namespace clementineloom::entry
