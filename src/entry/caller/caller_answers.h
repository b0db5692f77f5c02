#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/errors/result_code_table.h"
#include "entry/caller/attempt_history.h"
#include "entry/caller/caller_hooks.h"
#include "entry/caller/caller_log.h"
#include "entry/caller/caller_target.h"
#include "entry/caller/limit_refusal.h"
#include "entry/metric_specs.h"
#include "entry/port/call_port.h"
#include "metrics/metric_registry.h"
#include "net/refusal_response.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Answers and refuses callers' requests, and knows what the unanswered ones ask for.
/// Thread safety: none; use from the thread of the port.
template <CallPort Port>
class CallerAnswers {
 public:
  /// Precondition: the references outlive the answers.
  CallerAnswers(const CallerHooks& hooks, CallerLog<Port>& log, metrics::MetricRegistry& metrics)
      : hooks_(hooks), log_(log), metrics_(metrics) {}

  /// @brief Notes what a request asks for, until it is answered.
  void Expect(net::ExchangeId exchange, CallerTarget target) {
    targets_.emplace(exchange, std::move(target));
  }

  /// @brief What an unanswered request asks for; empty for an answered one.
  [[nodiscard]] CallerTarget TargetOf(net::ExchangeId exchange) const {
    const auto found = targets_.find(exchange);
    return found == targets_.end() ? CallerTarget() : found->second;
  }

  /// @brief Answers a request. Precondition: it has not been answered.
  void Answer(net::ExchangeId exchange, net::HttpResponse response) {
    targets_.erase(exchange);
    hooks_.answer(exchange, std::move(response));
  }

  /// @brief Answers a request with what a peer answered. Precondition: it has not been answered.
  void AnswerFromPeer(net::ExchangeId exchange, net::HttpResponse response) {
    const CallerTarget target = TargetOf(exchange);
    log_.AnsweredByPeer(target, response);
    if (target.method == "GET" && response.status == kNoSuchJob) {
      log_.JobNotFound(target, "peer");
    }
    Answer(exchange, std::move(response));
  }

  /// @brief Refuses a request that is as hopeless at other instances and at other times.
  /// Precondition: it has not been answered.
  void Refuse(net::ExchangeId exchange, const Refusal& refusal) {
    NoteRefusal(exchange, refusal);
    Answer(exchange, net::RefusalResponse(refusal));
  }

  /// @brief Refuses with Retry-After and closes the connection, so that the caller's retry can
  /// reach another instance. Precondition: the request has not been answered.
  void RefuseForNow(net::ExchangeId exchange, const Refusal& refusal) {
    NoteRefusal(exchange, refusal);
    net::HttpResponse response = RefusalUntil(refusal, kRetryAfterOutage);
    response.closes_connection = true;
    Answer(exchange, std::move(response));
  }

  /// @brief Refuses a submission by the limits of its team, which are the same at all instances.
  /// Precondition: the request has not been answered.
  void RefuseByLimit(net::ExchangeId exchange, const LimitRefusal& limit) {
    NoteRefusal(exchange, limit.refusal);
    Answer(exchange, RefusalUntil(limit.refusal, limit.retry_after));
  }

  /// @brief Refuses a request for now if none of its attempts may have run; otherwise answers that
  /// its outcome is unknown. Precondition: it has not been answered.
  void RefuseAfter(const AttemptHistory& attempts, net::ExchangeId exchange,
                   const Refusal& refusal) {
    if (attempts.MayBeRefused()) {
      RefuseForNow(exchange, refusal);
    } else {
      Refuse(exchange, {ResultCode::kAppendUnknown, RunState::kMayHaveRun,
                        "the outcome of the record is unknown"});
    }
  }

 private:
  // Callers retry for a few seconds in total: with a shorter delay they use up their attempts
  // within an outage, and with a longer one they have only one attempt left.
  static constexpr std::chrono::seconds kRetryAfterOutage{1};
  static constexpr int kNoSuchJob = 410;

  static net::HttpResponse RefusalUntil(const Refusal& refusal, std::chrono::seconds retry_after) {
    net::HttpResponse response = net::RefusalResponse(refusal);
    response.headers = response.headers.With("Retry-After", std::to_string(retry_after.count()));
    return response;
  }

  void NoteRefusal(net::ExchangeId exchange, const Refusal& refusal) {
    metrics_.Count(kRefusals.name, kRefusals.label, ResultCodeName(refusal.code));
    log_.Refused(TargetOf(exchange), refusal);
  }

  const CallerHooks& hooks_;
  CallerLog<Port>& log_;
  metrics::MetricRegistry& metrics_;
  // Unanswered requests.
  std::map<net::ExchangeId, CallerTarget> targets_;
};

}  // namespace clementineloom::entry
