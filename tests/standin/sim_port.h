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

/// @brief The CallPort of one entry instance in a SimWorld, with injectable network faults.
/// Thread safety: none.
class SimPort {
 public:
  explicit SimPort(SimWorld& world) : world_(world) {}

  void Call(const std::string& address, net::HttpRequest request, workload::Milliseconds timeout,
            entry::CallHandler handler) {
    const auto call = std::make_shared<PendingCall>(std::move(handler));
    world_.After(timeout, WhileAlive([call] { Fail(*call, RunState::kMayHaveRun); }));
    if (cut_addresses_.contains(address) || lost_request_addresses_.contains(address)) {
      return;
    }
    // A request on its way still arrives if its sender is killed meanwhile.
    world_.After(kOneWay, [this, &world = world_, alive = std::weak_ptr<bool>(lifetime_), address,
                           call, request = std::move(request)] {
      if (!alive.expired()) {
        Deliver(address, request, call);
      } else if (const SimWorld::Server* server = world.Find(address)) {
        (*server)(request, [](const net::HttpResponse&) {});
      }
    });
  }

  void After(workload::Milliseconds delay, std::function<void()> action) {
    world_.After(delay, WhileAlive(std::move(action)));
  }

  [[nodiscard]] workload::SteadyTime Now() const { return world_.now(); }
  [[nodiscard]] std::int64_t UnixNowMs() const { return world_.unix_now_ms(); }

  /// @brief Suspends the instance like a stopped process: its timers, the answers to its calls and
  /// the requests to it are deferred until Thaw, while the clock goes on.
  void Freeze() { is_frozen_ = true; }
  /// @brief Resumes the instance and runs the deferred actions in order.
  void Thaw() {
    is_frozen_ = false;
    for (const auto& it : std::exchange(deferred_, {})) {
      it();
    }
  }
  /// @brief Runs an action of the instance now, or at Thaw while it is frozen.
  void WhenAwake(std::function<void()> action) {
    if (is_frozen_) {
      deferred_.push_back(std::move(action));
    } else {
      action();
    }
  }

  /// @brief Calls to the address neither arrive nor get an answer, until Heal.
  void Cut(const std::string& address) { cut_addresses_.insert(address); }
  /// @brief Calls to the address arrive but their answers are lost, until Heal.
  void LoseAnswers(const std::string& address) { lost_answer_addresses_.insert(address); }
  /// @brief The same for calls to any address whose target begins with this text, until any Heal.
  void LoseAnswersOf(const std::string& target) { lost_answer_targets_.insert(target); }
  /// @brief Ends the faults of the address, and those of all targets.
  void Heal(const std::string& address) {
    lost_answer_targets_.clear();
    cut_addresses_.erase(address);
    lost_answer_addresses_.erase(address);
    lost_request_addresses_.erase(address);
  }

  /// @brief Calls to the address no longer arrive, until Heal; answers to earlier calls do.
  void LoseRequests(const std::string& address) { lost_request_addresses_.insert(address); }

 private:
  static constexpr workload::Milliseconds kOneWay{1};

  struct PendingCall {
    explicit PendingCall(entry::CallHandler it) : handler(std::move(it)) {}
    entry::CallHandler handler;
    bool is_done = false;
  };

  std::function<void()> WhileAlive(std::function<void()> action) {
    return [this, alive = std::weak_ptr<bool>(lifetime_), action = std::move(action)] {
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
    (*server)(request, [this, alive = std::weak_ptr<bool>(lifetime_), address, call,
                        target = request.target](net::HttpResponse response) {
      if (alive.expired() || cut_addresses_.contains(address) ||
          lost_answer_addresses_.contains(address) || LosesAnswersOf(target)) {
        return;
      }
      world_.After(kOneWay, WhileAlive([call, response = std::move(response)] {
                     if (!std::exchange(call->is_done, true)) {
                       call->handler({net::CallId(0), response, std::nullopt});
                     }
                   }));
    });
  }

  [[nodiscard]] bool LosesAnswersOf(const std::string& target) const {
    return std::any_of(lost_answer_targets_.begin(), lost_answer_targets_.end(),
                       [&](const std::string& it) { return target.starts_with(it); });
  }

  static void Fail(PendingCall& call, RunState run_state) {
    if (!std::exchange(call.is_done, true)) {
      call.handler({net::CallId(0), std::nullopt,
                    Refusal{ResultCode::kUpstreamFailed, run_state, "no answer"}});
    }
  }

  SimWorld& world_;
  std::set<std::string> cut_addresses_;
  std::set<std::string> lost_answer_addresses_;
  std::set<std::string> lost_answer_targets_;
  std::set<std::string> lost_request_addresses_;
  bool is_frozen_ = false;
  std::vector<std::function<void()>> deferred_;
  std::shared_ptr<bool> lifetime_ = std::make_shared<bool>(true);
};

static_assert(entry::CallPort<SimPort>);

}  // namespace clementineloom::standin
