#pragma once

#include <algorithm>
#include <charconv>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <system_error>
#include <utility>
#include <vector>

#include "clementineloom/errors/run_state_name.h"
#include "clementineloom/workload/instance_record.h"
#include "entry/caller/attempt_history.h"
#include "entry/caller/peer_outcome.h"
#include "entry/port/call_port.h"
#include "entry/port/lifetime_guard.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"

namespace clementineloom::entry {

/// @brief Forwards callers' requests to other instances: to peers while this instance cannot reach
/// the store, and to the owner.
///
/// A request is tried at several peers in turn, which is safe because submissions and cancellations
/// are idempotent by the job's id. Peers do not forward it again. Once an attempt may have run,
/// refusals of other peers are not passed on: only a success settles the request.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class PeerRouter {
 public:
  using Done = std::function<void(PeerOutcome)>;

  PeerRouter(Port& port, std::string instance) : port_(port), instance_(std::move(instance)) {}

  /// @brief Adds a peer or updates its address; ignores this instance itself.
  void Add(const workload::InstanceRecord& peer) {
    if (peer.instance != instance_) {
      peers_.insert_or_assign(peer.instance, Peer{peer.address, {}});
    }
  }

  /// @brief Number of known peers, including those that are gone.
  [[nodiscard]] std::size_t size() const { return peers_.size(); }

  /// @brief Whether a request was forwarded by a peer, and must not be forwarded again.
  [[nodiscard]] static bool IsForwarded(const net::HttpRequest& request) {
    return !request.headers.Find(kForwardedHeader).empty();
  }

  /// @brief Whether a request is a probe for the age of this instance's view of the store.
  [[nodiscard]] static bool IsProbe(const net::HttpRequest& request) {
    return !request.headers.Find(kProbeHeader).empty();
  }

  /// @brief The answer to a probe. @param view_age empty while the store cannot be reached
  [[nodiscard]] static net::HttpResponse ProbeResponse(
      std::optional<workload::Milliseconds> view_age) {
    return {view_age ? kOk : kUnavailable, {}, view_age ? std::to_string(view_age->count()) : ""};
  }

  /// @brief Tries a request at peers that have read the store more recently than this instance,
  /// because a peer in the same outage would leave the outcome unknown.
  ///
  /// Done runs once, never before Forward returns.
  /// @param view_age age of this instance's view of the store
  void Forward(const net::HttpRequest& request, workload::Milliseconds view_age, Done done) {
    Try({Forwarded(request),
         Candidates(),
         0,
         {},
         port_.Now() - view_age,
         kTimeout,
         std::move(done)});
  }

  /// @brief Whether a peer is known and has not failed within the owner back-off.
  [[nodiscard]] bool IsAvailable(const std::string& peer) const {
    const auto it = peers_.find(peer);
    return it != peers_.end() && !HasFailedWithin(it->second, kOwnerBackoff);
  }

  /// @brief Forwards a request to one peer, whatever the age of its view of the store.
  ///
  /// Done runs once, never before ForwardTo returns. Precondition: IsAvailable(peer).
  /// @param timeout time after which the attempt ends without an answer
  void ForwardTo(const std::string& peer, const net::HttpRequest& request,
                 workload::Milliseconds timeout, Done done) {
    // No further candidates: if this peer does not take the request, the attempt ends.
    Send(peer, {Forwarded(request), {}, 0, {}, {}, timeout, std::move(done)});
  }

  /// @brief Probes whether a peer responds and reaches the store. One that does not counts as
  /// failed.
  ///
  /// Done runs once, never before ProbeHealth returns. Precondition: the peer is known.
  void ProbeHealth(const std::string& peer, std::function<void(bool)> done) {
    port_.Call(peers_.at(peer).address, Probe(), kHealthProbeTimeout,
               lifetime_.Wrap([this, peer, done = std::move(done)](const net::ClientResult& it) {
                 const bool is_healthy = it.response && it.response->status == kOk;
                 if (!is_healthy) {
                   NoteFailure(peer);
                 }
                 done(is_healthy);
               }));
  }

 private:
  static constexpr const char* kForwardedHeader = "X-Loom-Forwarded-By";
  static constexpr const char* kProbeHeader = "X-Loom-View-Age";
  static constexpr workload::Milliseconds kTimeout{600};
  static constexpr workload::Milliseconds kProbeTimeout{150};
  // Longer, since the answer decides whether the peer's work is done elsewhere as well.
  static constexpr workload::Milliseconds kHealthProbeTimeout{300};
  static constexpr std::size_t kMaxAttempts = 4;
  // Minimum by which a peer's view must be newer. More than the views of two instances differ when
  // both lose the store at the same time.
  static constexpr workload::Milliseconds kMinViewLead{250};
  // For this time after a failure a peer is tried last.
  static constexpr workload::Milliseconds kPeerBackoff{3'000};
  // For this time after a failure no request is forwarded to the owner. Shorter, so that the owner
  // is asked again as soon as it may have recovered.
  static constexpr workload::Milliseconds kOwnerBackoff{1'000};
  static constexpr int kOk = 200;
  static constexpr int kFirstError = 300;
  static constexpr int kFirstServerError = 500;
  static constexpr int kUnavailable = 503;
  // Limits logging under load: it runs on the decision thread, and more of it would delay the
  // decisions.
  static constexpr std::uint32_t kMaxAnswerLogsPerSecond = 20;

  struct Peer {
    std::string address;
    workload::SteadyTime failed_at;
  };
  struct Attempt {
    net::HttpRequest request;
    std::vector<std::string> peers;
    std::size_t next = 0;
    AttemptHistory history;
    // When this instance last read the store, for comparison with the peers' views.
    workload::SteadyTime last_read_at;
    // How long each peer has to answer.
    workload::Milliseconds timeout{0};
    Done done;
  };

  static net::HttpRequest Probe() {
    return {"GET", "/", net::HttpHeaders().With(kProbeHeader, "?"), {}};
  }

  net::HttpRequest Forwarded(net::HttpRequest request) const {
    request.headers = request.headers.With(kForwardedHeader, instance_);
    return request;
  }

  bool HasFailedWithin(const Peer& peer, workload::Milliseconds time) const {
    return peer.failed_at != workload::SteadyTime() && port_.Now() - peer.failed_at < time;
  }

  // Peers in the order in which to try them: the last one that answered, then those that have not
  // failed recently, then the others.
  std::vector<std::string> Candidates() const {
    std::vector<std::string> preferred;
    std::vector<std::string> backed_off;
    for (const auto& [name, peer] : peers_) {
      if (name == last_responsive_peer_) {
        preferred.insert(preferred.begin(), name);
      } else {
        (HasFailedWithin(peer, kPeerBackoff) ? backed_off : preferred).push_back(name);
      }
    }
    preferred.insert(preferred.end(), backed_off.begin(), backed_off.end());
    return preferred;
  }

  // The age in the answer to a probe; nothing without the store, and from a program that has taken
  // the address of a peer and does not know probes.
  static std::optional<workload::Milliseconds> ViewAgeOf(const net::ClientResult& result) {
    if (!result.response || result.response->status != kOk) {
      return std::nullopt;
    }
    const std::string& text = result.response->body;
    std::int64_t age_ms = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), age_ms);
    const bool is_age = ec == std::errc() && end == text.data() + text.size() && age_ms >= 0;
    return is_age ? std::optional(workload::Milliseconds(age_ms)) : std::nullopt;
  }

  void Try(Attempt attempt) {
    if (attempt.next >= std::min(attempt.peers.size(), kMaxAttempts)) {
      port_.After(workload::Milliseconds(0), lifetime_.Wrap([attempt] {
        attempt.done({std::nullopt, attempt.history});
      }));
      return;
    }
    const std::string peer = attempt.peers[attempt.next++];
    port_.Call(peers_.at(peer).address, Probe(), kProbeTimeout,
               lifetime_.Wrap(
                   [this, peer, attempt, probed_at = port_.Now()](const net::ClientResult& result) {
                     OnProbe(peer, attempt, probed_at, result);
                   }));
  }

  // @param probed_at when the probe was sent: the answer may have waited for this process, and the
  // age in it counts from an earlier time than the present
  void OnProbe(const std::string& peer, const Attempt& attempt, workload::SteadyTime probed_at,
               const net::ClientResult& result) {
    const auto peer_age = ViewAgeOf(result);
    if (!peer_age) {
      NoteFailure(peer);
      Try(attempt);
      return;
    }
    if (probed_at - *peer_age < attempt.last_read_at + kMinViewLead) {
      Try(attempt);
      return;
    }
    Send(peer, attempt);
  }

  void Send(const std::string& peer, const Attempt& attempt) {
    port_.Call(peers_.at(peer).address, attempt.request, attempt.timeout,
               lifetime_.Wrap([this, peer, attempt](const net::ClientResult& answer) {
                 OnAnswer(peer, attempt, answer);
               }));
  }

  void NoteFailure(const std::string& peer) {
    if (last_responsive_peer_ == peer) {
      last_responsive_peer_.clear();
    }
    peers_.at(peer).failed_at = port_.Now();
  }

  void OnAnswer(const std::string& peer, Attempt attempt, const net::ClientResult& result) {
    const RunState run_state = RunStateOf(result);
    attempt.history = attempt.history.With(run_state);
    // Any other answer, also that an outcome is not known in time, shows that the peer is at work.
    const bool is_healthy = result.response && result.response->status != kUnavailable;
    if (is_healthy) {
      last_responsive_peer_ = peer;
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

  // An unsuccessful answer may be passed on only if no earlier attempt may have run. Reads have no
  // effect, so that any answer to them may be passed on.
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
  std::string last_responsive_peer_;
  logging::EventBudget answer_budget_{kMaxAnswerLogsPerSecond};
  LifetimeGuard lifetime_;
};

}  // namespace clementineloom::entry
