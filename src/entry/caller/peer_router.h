#pragma once

#include <algorithm>
#include <cstddef>
#include <cstdlib>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "clementineloom/workload/instance_record.h"
#include "entry/port/call_port.h"
#include "entry/port/life_guard.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Hands requests of callers to other instances, while this one cannot reach the store.
///
/// A request is tried at several peers in turn: submissions and cancellations are idempotent by
/// the job's id. A peer does not hand it on again.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class PeerRouter {
 public:
  /// Takes the answer of a peer, or nothing; then the flag tells whether the request may have run.
  using Done = std::function<void(std::optional<net::HttpResponse>, bool may_have_run)>;

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
    Try({Forwarded(request), Candidates(), 0, false, port_.Now() - view_age, std::move(done)});
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
    Send(peer, {Forwarded(request), {}, 0, false, {}, std::move(done)});
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
  static constexpr int kUnavailable = 503;
  static constexpr int kOutcomeUnknown = 504;

  struct Peer {
    std::string address;
    workload::SteadyTime failed_at;
  };
  struct Attempt {
    net::HttpRequest request;
    std::vector<std::string> peers;
    std::size_t next = 0;
    bool may_have_run = false;
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
      port_.After(workload::Milliseconds(0),
                  life_.Wrap([attempt] { attempt.done(std::nullopt, attempt.may_have_run); }));
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
    if (result.response && result.response->status < kUnavailable) {
      last_good_ = peer;
      peers_.at(peer).failed_at = {};
      attempt.done(result.response, false);
      return;
    }
    NoteFailure(peer);
    const bool may_have_run = result.response ? result.response->status == kOutcomeUnknown
                                              : result.refusal->run_state != RunState::kDidNotRun;
    attempt.may_have_run = attempt.may_have_run || may_have_run;
    Try(std::move(attempt));
  }

  Port& port_;
  const std::string instance_;
  std::map<std::string, Peer> peers_;
  std::string last_good_;
  LifeGuard life_;
};

}  // namespace clementineloom::entry
