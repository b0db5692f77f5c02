#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdint>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/errors/run_state_name.h"
#include "clementineloom/workload/instance_record.h"
#include "entry/caller/peer_outcome.h"
#include "entry/caller/run_history.h"
#include "entry/port/call_port.h"
#include "entry/port/life_guard.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Hands requests of callers to other instances, while this one cannot reach the store.
///
/// A request is tried at several peers in turn: submissions and cancellations are idempotent by
/// the job's id. A peer does not hand it on again. Once an attempt may have run, the refusals of
/// other peers are not passed on: only a success settles the request.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class PeerRouter {
 public:
  using Done = std::function<void(PeerOutcome)>;

  PeerRouter(Port& port, std::string instance) : port_(port), instance_(std::move(instance)) {}

  /// @brief Adds a peer or changes its address; this instance itself is left out.
  void Add(const workload::InstanceRecord& peer) {
    if (peer.instance != instance_) {
      peers_.insert_or_assign(peer.instance, Peer{peer.address, {}});
    }
  }

  /// @brief Peers that are or once were there.
  [[nodiscard]] std::size_t size() const { return peers_.size(); }

  /// @brief Whether a request was handed on by a peer, and must not be handed on again.
  [[nodiscard]] static bool IsForwarded(const net::HttpRequest& request) {
    return !request.headers.Find(kForwardedHeader).empty();
  }

  /// @brief Whether a request only asks how old this instance's view of the store is.
  [[nodiscard]] static bool IsProbe(const net::HttpRequest& request) {
    return !request.headers.Find(kProbeHeader).empty();
  }

  /// @brief The answer to a probe. @param view_age nothing while the store cannot be reached
  [[nodiscard]] static net::HttpResponse ProbeResponse(
      std::optional<workload::Milliseconds> view_age) {
    return {view_age ? kOk : kUnavailable, {}, view_age ? std::to_string(view_age->count()) : ""};
  }

  /// @brief Tries a request at peers that read the store after this instance last could, because
  /// a peer in the same outage would leave the outcome unknown.
  ///
  /// Done runs once, never before Forward returns.
  /// @param view_age of this instance
  void Forward(const net::HttpRequest& request, workload::Milliseconds view_age, Done done) {
    Try({Forwarded(request), Candidates(), 0, {}, port_.Now() - view_age, std::move(done)});
  }

  /// @brief Whether a peer is known and has not failed just now.
  [[nodiscard]] bool MayAsk(const std::string& peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && !HasFailedWithin(it->second, kShortRest);
  }

  /// @brief Hands a request to one peer, whatever its view of the store.
  ///
  /// Done runs once, never before ForwardTo returns. Precondition: MayAsk(peer).
  void ForwardTo(const std::string& peer, const net::HttpRequest& request, Done done) {
    // Only this peer: what it does not take comes back.
    Send(peer, {Forwarded(request), {}, 0, {}, {}, std::move(done)});
  }

 private:
  static constexpr const char* kForwardedHeader = "X-Loom-Forwarded-By";
  static constexpr const char* kProbeHeader = "X-Loom-View-Age";
  static constexpr workload::Milliseconds kTimeout{600};
  static constexpr workload::Milliseconds kProbeTimeout{150};
  static constexpr std::size_t kMaxTries = 4;
  // A peer's view has to be newer by more than two instances differ that lose the store at once.
  static constexpr workload::Milliseconds kFresherBy{250};
  // A peer that failed is tried last for this time.
  static constexpr workload::Milliseconds kRest{3'000};
  // The same for the owner, which is asked again as soon as it may have recovered.
  static constexpr workload::Milliseconds kShortRest{1'000};
  static constexpr int kOk = 200;
  static constexpr int kFirstError = 300;
  static constexpr int kFirstServerError = 500;
  static constexpr int kUnavailable = 503;
  // Answers of peers that are logged in a second; more would cost the decisions their time.
  static constexpr std::uint32_t kAnswerLines = 20;

  struct Peer {
    std::string address;
    workload::SteadyTime failed_at;
  };
  struct Attempt {
    net::HttpRequest request;
    std::vector<std::string> peers;
    std::size_t next = 0;
    RunHistory history;
    // When this instance last read the store.
    workload::SteadyTime last_read_at;
    Done done;
  };

  net::HttpRequest Forwarded(net::HttpRequest request) const {
    request.headers = request.headers.With(kForwardedHeader, instance_);
    return request;
  }

  bool HasFailedWithin(const Peer& peer, workload::Milliseconds time) const {
    return peer.failed_at != workload::SteadyTime() && port_.Now() - peer.failed_at < time;
  }

  // Peers that did not fail of late, beginning with the one that answered last.
  std::vector<std::string> Candidates() const {
    std::vector<std::string> good;
    std::vector<std::string> resting;
    for (const auto& [name, peer] : peers_) {
      if (name == last_good_) {
        good.insert(good.begin(), name);
      } else {
        (HasFailedWithin(peer, kRest) ? resting : good).push_back(name);
      }
    }
    good.insert(good.end(), resting.begin(), resting.end());
    return good;
  }

  void Try(Attempt attempt) {
    if (attempt.next >= std::min(attempt.peers.size(), kMaxTries)) {
      port_.After(workload::Milliseconds(0), life_.Wrap([attempt] {
        attempt.done({std::nullopt, attempt.history});
      }));
      return;
    }
    const std::string peer = attempt.peers[attempt.next++];
    net::HttpRequest probe{"GET", "/", net::HttpHeaders().With(kProbeHeader, "?"), {}};
    port_.Call(peers_.at(peer).address, std::move(probe), kProbeTimeout,
               life_.Wrap([this, peer, attempt](const net::ClientResult& result) {
                 OnProbe(peer, attempt, result);
               }));
  }

  void OnProbe(const std::string& peer, const Attempt& attempt, const net::ClientResult& result) {
    if (!result.response || result.response->status != kOk) {
      NoteFailure(peer);
      Try(attempt);
      return;
    }
    const workload::Milliseconds peer_age(std::atoll(result.response->body.c_str()));
    if (port_.Now() - peer_age < attempt.last_read_at + kFresherBy) {
      Try(attempt);
      return;
    }
    Send(peer, attempt);
  }

  void Send(const std::string& peer, const Attempt& attempt) {
    port_.Call(peers_.at(peer).address, attempt.request, kTimeout,
               life_.Wrap([this, peer, attempt](const net::ClientResult& answer) {
                 OnAnswer(peer, attempt, answer);
               }));
  }

  void NoteFailure(const std::string& peer) {
    if (last_good_ == peer) {
      last_good_.clear();
    }
    peers_.at(peer).failed_at = port_.Now();
  }

  void OnAnswer(const std::string& peer, Attempt attempt, const net::ClientResult& result) {
    const RunState run_state = RunStateOf(result);
    attempt.history = attempt.history.With(run_state);
    const bool is_healthy = result.response && result.response->status < kUnavailable;
    if (is_healthy) {
      last_good_ = peer;
      peers_.at(peer).failed_at = {};
    } else {
      NoteFailure(peer);
    }
    if (run_state != RunState::kRan && !IsRead(attempt.request)) {
      LogAnswer(peer, attempt, result);
    }
    if (is_healthy && MayPassOn(attempt, run_state)) {
      attempt.done({result.response, attempt.history});
    } else {
      Try(std::move(attempt));
    }
  }

  // An unsuccessful answer is final only if it holds for all attempts. A read has no effect, so
  // that any answer to it will do.
  static bool MayPassOn(const Attempt& attempt, RunState run_state) {
    return run_state == RunState::kRan || attempt.history.MayBeRefused() || IsRead(attempt.request);
  }

  static bool IsRead(const net::HttpRequest& request) { return request.method == "GET"; }

  static RunState RunStateOf(const net::ClientResult& result) {
    if (!result.response) {
      return result.refusal->run_state;
    }
    const int status = result.response->status;
    if (status < kFirstError) {
      return RunState::kRan;
    }
    const bool is_refusal = status < kFirstServerError || status == kUnavailable;
    return is_refusal ? RunState::kDidNotRun : RunState::kMayHaveRun;
  }

  void LogAnswer(const std::string& peer, const Attempt& attempt, const net::ClientResult& result) {
    if (!answer_budget_.Allow(port_.Now())) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "peer_did_not_take_request",
                      {{"method", attempt.request.method},
                       {"path", attempt.request.target},
                       {"peer", peer},
                       {"status", result.response ? result.response->status : 0},
                       {"run_state", RunStateName(RunStateOf(result))},
                       {"run_state_of_all", RunStateName(attempt.history.state())},
                       {"left_out", answer_budget_.TakeLeftOut()}});
  }

  Port& port_;
  const std::string instance_;
  std::map<std::string, Peer> peers_;
  std::string last_good_;
  logging::EventBudget answer_budget_{kAnswerLines};
  LifeGuard life_;
};

}  // namespace clementineloom::entry
