#pragma once

#include <utility>

#include "clementineloom/errors/refusal.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/jobs_view.h"
#include "entry/caller/peer_outcome.h"
#include "entry/caller/peer_router.h"
#include "entry/port/call_port.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Lets peers serve requests that this instance cannot serve.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class PeerFallback {
 public:
  /// Precondition: the references outlive the fallback.
  PeerFallback(PeerRouter<Port>& peers, const JobsView<Port>& view, CallerAnswers<Port>& answers)
      : peers_(peers), view_(view), answers_(answers) {}

  /// @brief Forwards a request to the peers; refuses it if it was already forwarded or no peer
  /// takes it. Precondition: nothing was done for the request, and it has not been answered.
  void ForwardOrRefuse(const net::ServerRequest& request, Refusal refusal) {
    if (PeerRouter<Port>::IsForwarded(request.request)) {
      answers_.RefuseForNow(request.id, refusal);
      return;
    }
    peers_.Forward(request.request, view_.UnknownFor(),
                   [this, exchange = request.id, refusal = std::move(refusal)](
                       PeerOutcome outcome) { Finish(exchange, refusal, std::move(outcome)); });
  }

 private:
  void Finish(net::ExchangeId exchange, const Refusal& refusal, PeerOutcome outcome) {
    if (outcome.answer) {
      answers_.AnswerFromPeer(exchange, std::move(*outcome.answer));
    } else {
      answers_.RefuseAfter(outcome.history, exchange, refusal);
    }
  }

  PeerRouter<Port>& peers_;
  const JobsView<Port>& view_;
  CallerAnswers<Port>& answers_;
};

}  // namespace clementineloom::entry
