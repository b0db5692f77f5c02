#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <utility>
#include <variant>

#include "clementineloom/concurrency/bounded_ring.h"
#include "entry/entry_event.h"
#include "entry/entry_state.h"
#include "entry/port/http_call_port.h"
#include "metrics/metric_registry.h"
#include "net/http_server.h"
#include "settings/entry_settings.h"

namespace clementineloom::entry {

/// @brief The duty that makes all decisions: handles events from its ring and runs timers, and
/// blocks on the ring in between. Thread safety: Run is called once, on the duty's thread.
template <class Platform>
class DecisionDuty {
 public:
  /// @param on_handed_over runs once, when this instance has been told to stop and does not own the
  /// workers, on the duty's thread
  DecisionDuty(const settings::EntrySettings& settings, BoundedRing<EntryEvent>& events,
               net::HttpServer& front, std::atomic<bool>& is_ready,
               metrics::MetricRegistry& metrics, std::function<void()> on_handed_over)
      : events_(events),
        on_handed_over_(std::move(on_handed_over)),
        port_(events),
        state_(port_, settings,
               {[&front](net::ExchangeId id, net::HttpResponse response) {
                  front.Answer(id, std::move(response));
                },
                [&is_ready](bool ready) { is_ready = ready; }},
               metrics, std::random_device{}()) {}

  /// @brief Runs until the ring is closed.
  void Run() {
    state_.Start();
    while (!events_.closed()) {
      if (auto event = NextEvent()) {
        std::visit([this](auto& it) { this->Handle(std::move(it)); }, *event);
      }
      port_.timers().RunDue(port_.Now());
      CheckHandover();
    }
  }

 private:
  // Upper bound of the wait on the ring while no timer is set.
  static constexpr std::chrono::seconds kMaxWait{10};

  std::optional<EntryEvent> NextEvent() {
    const auto next = port_.timers().Next();
    const auto now = port_.Now();
    if (next && *next <= now) {
      return events_.TryPop();
    }
    return events_.PopFor(next ? *next - now : std::chrono::nanoseconds(kMaxWait));
  }

  void Handle(const net::ServerRequest& request) { state_.OnRequest(request); }
  void Handle(const net::ClientResult& result) { port_.Deliver(result); }
  void Handle(const StopRequested& request) {
    is_stopping_ = true;
    state_.OnStop(request.answer_within);
  }

  void CheckHandover() {
    if (is_stopping_ && !state_.is_owner() && !std::exchange(has_handed_over_, true)) {
      on_handed_over_();
    }
  }

  BoundedRing<EntryEvent>& events_;
  const std::function<void()> on_handed_over_;
  bool is_stopping_ = false;
  bool has_handed_over_ = false;
  HttpCallPort port_;
  EntryState<Platform, HttpCallPort> state_;
};

}  // namespace clementineloom::entry
