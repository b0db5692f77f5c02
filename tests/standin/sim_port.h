#pragma once

#include <algorithm>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "entry/port/call_port.h"
#include "standin/sim_world.h"

namespace clementineloom::standin {

/// @brief The surroundings of one entry instance in a SimWorld, with faults of its links.
/// Thread safety: none.
class SimPort {
 public:
  explicit SimPort(SimWorld& world) : world_(world) {}

  void Call(const std::string& address, net::HttpRequest request, workload::Milliseconds timeout,
            entry::CallHandler handler) {
    const auto call = std::make_shared<PendingCall>(std::move(handler));
    world_.After(timeout, Live([call] { Fail(*call, RunState::kMayHaveRun); }));
    if (cut_.contains(address)) {
      return;
    }
    // What was sent arrives, even if the sender is killed meanwhile.
    world_.After(kOneWay, [this, &world = world_, alive = std::weak_ptr<bool>(alive_), address,
                           call, request = std::move(request)] {
      if (!alive.expired()) {
        Deliver(address, request, call);
      } else if (const SimWorld::Server* server = world.Find(address)) {
        (*server)(request, [](const net::HttpResponse&) {});
      }
    });
  }

  void After(workload::Milliseconds delay, std::function<void()> action) {
    world_.After(delay, Live(std::move(action)));
  }

  [[nodiscard]] workload::SteadyTime Now() const { return world_.now(); }
  [[nodiscard]] std::int64_t UnixNowMs() const { return world_.unix_now_ms(); }

  /// @brief Suspends the instance, as a frozen process is: its timers, the answers to its calls and
  /// the requests to it wait for Thaw, while the clock goes on.
  void Freeze() { is_frozen_ = true; }
  /// @brief Lets the instance go on with all that has waited, in order.
  void Thaw() {
    is_frozen_ = false;
    for (const auto& it : std::exchange(held_, {})) {
      it();
    }
  }
  /// @brief Runs an action of the instance now, or at Thaw.
  void WhenAwake(std::function<void()> action) {
    if (is_frozen_) {
      held_.push_back(std::move(action));
    } else {
      action();
    }
  }

  /// @brief Calls to the address get no answer and do not arrive, until Heal.
  void Cut(const std::string& address) { cut_.insert(address); }
  /// @brief Calls to the address arrive, and their answers are lost, until Heal.
  void LoseAnswers(const std::string& address) { mute_.insert(address); }
  /// @brief The same for calls whose target begins so, to any address.
  void LoseAnswersOf(const std::string& target) { mute_targets_.insert(target); }
  void Heal(const std::string& address) {
    mute_targets_.clear();
    cut_.erase(address);
    mute_.erase(address);
  }

 private:
  static constexpr workload::Milliseconds kOneWay{1};

  struct PendingCall {
    explicit PendingCall(entry::CallHandler it) : handler(std::move(it)) {}
    entry::CallHandler handler;
    bool is_over = false;
  };

  std::function<void()> Live(std::function<void()> action) {
    return [this, alive = std::weak_ptr<bool>(alive_), action = std::move(action)] {
      if (!alive.expired()) {
        WhenAwake(action);
      }
    };
  }

  void Deliver(const std::string& address, const net::HttpRequest& request,
               const std::shared_ptr<PendingCall>& call) {
    const SimWorld::Server* server = world_.Find(address);
    if (server == nullptr) {
      Fail(*call, RunState::kDidNotRun);
      return;
    }
    (*server)(request, [this, alive = std::weak_ptr<bool>(alive_), address, call,
                        target = request.target](net::HttpResponse response) {
      if (alive.expired() || cut_.contains(address) || mute_.contains(address) || IsMute(target)) {
        return;
      }
      world_.After(kOneWay, Live([call, response = std::move(response)] {
                     if (!std::exchange(call->is_over, true)) {
                       call->handler({net::CallId(0), response, std::nullopt});
                     }
                   }));
    });
  }

  [[nodiscard]] bool IsMute(const std::string& target) const {
    return std::any_of(mute_targets_.begin(), mute_targets_.end(),
                       [&](const std::string& it) { return target.starts_with(it); });
  }

  static void Fail(PendingCall& call, RunState run_state) {
    if (!std::exchange(call.is_over, true)) {
      call.handler({net::CallId(0), std::nullopt,
                    Refusal{ResultCode::kUpstreamFailed, run_state, "no answer"}});
    }
  }

  SimWorld& world_;
  std::set<std::string> cut_;
  std::set<std::string> mute_;
  std::set<std::string> mute_targets_;
  bool is_frozen_ = false;
  std::vector<std::function<void()>> held_;
  std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

static_assert(entry::CallPort<SimPort>);

}  // namespace clementineloom::standin
