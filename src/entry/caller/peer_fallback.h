#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "clementineloom/errors/refusal.h"
#include "entry/caller/answer_time.h"
#include "entry/caller/attempt_history.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/jobs_view.h"
#include "entry/caller/peer_outcome.h"
#include "entry/caller/peer_router.h"
#include "entry/caller/waiting_forward.h"
#include "entry/port/call_port.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Lets peers serve requests that this instance cannot serve.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class PeerFallback {
 public:
  /// Precondition: the references outlive the fallback.
  PeerFallback(Port& port, PeerRouter<Port>& peers, const JobsView<Port>& view,
               CallerAnswers<Port>& answers)
      : port_(port), peers_(peers), view_(view), answers_(answers) {}

  /// @brief Forwards a request to the peers; refuses it if it was already forwarded or no peer
  /// takes it, and gives it up shortly before its caller's timeout.
  /// @param timeout_ms time for which the caller waits
  /// Precondition: nothing was done for the request, and it has not been answered.
  void ForwardOrRefuse(const net::ServerRequest& request, std::int64_t timeout_ms,
                       Refusal refusal) {
    if (PeerRouter<Port>::IsForwarded(request.request)) {
      answers_.RefuseForNow(request.id, refusal);
      return;
    }
    waiting_.emplace(request.id,
                     WaitingForward{std::move(refusal), request.request.method == "GET"});
    port_.After(AnswerTime(timeout_ms), [this, exchange = request.id] { GiveUp(exchange); });
    peers_.Forward(request.request, view_.UnknownFor(),
                   [this, exchange = request.id](PeerOutcome outcome) {
                     Finish(exchange, std::move(outcome));
                   });
  }

  /// @brief Answers all requests that peers are asked to serve, without waiting for the peers.
  void GiveUpAll() {
    while (!waiting_.empty()) {
      GiveUp(waiting_.begin()->first);
    }
  }

 private:
  void Finish(net::ExchangeId exchange, PeerOutcome outcome) {
    const auto waiting = waiting_.extract(exchange);
    if (waiting.empty()) {
      return;
    }
    if (outcome.answer) {
      answers_.AnswerFromPeer(exchange, std::move(*outcome.answer));
    } else {
      answers_.RefuseAfter(outcome.history, exchange, waiting.mapped().refusal);
    }
  }

  // Answers a request without its outcome: a peer that was asked for a change may have recorded it.
  void GiveUp(net::ExchangeId exchange) {
    const auto waiting = waiting_.extract(exchange);
    if (waiting.empty()) {
      return;
    }
    const auto run_state = waiting.mapped().is_read ? RunState::kDidNotRun : RunState::kMayHaveRun;
    answers_.RefuseAfter(AttemptHistory().With(run_state), exchange, waiting.mapped().refusal);
  }

  Port& port_;
  PeerRouter<Port>& peers_;
  const JobsView<Port>& view_;
  CallerAnswers<Port>& answers_;
  // Unanswered requests that peers are asked to serve.
  std::map<net::ExchangeId, WaitingForward> waiting_;
};

}  // namespace clementineloom::entry
