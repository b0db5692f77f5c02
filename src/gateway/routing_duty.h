#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <variant>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/routing/fair_request_queue.h"
#include "clementineloom/routing/outstanding_requests.h"
#include "clementineloom/routing/retry_policy.h"
#include "clementineloom/routing/team_loads.h"
#include "clementineloom/routing/upstream_chooser.h"
#include "gateway/admission.h"
#include "gateway/attempt_refusal.h"
#include "gateway/claims_port.h"
#include "gateway/current_view.h"
#include "gateway/job_call.h"
#include "gateway/jobs_port.h"
#include "gateway/metric_names.h"
#include "gateway/parse_caller_request.h"
#include "gateway/responder.h"
#include "gateway/routing_event.h"
#include "gateway/routing_options.h"
#include "gateway/upstream_attempts.h"
#include "net/http_client.h"

namespace clementineloom::gateway {

/// @brief Processes every caller request up to its single answer: admission, choice of the
/// upstream, sending, retries where they are allowed, answer.
///
/// Thread safety: Run is called on the duty's thread; all input reaches it through the ring.
template <UpstreamChooser Chooser>
class RoutingDuty {
 public:
  /// Precondition: the references outlive the duty.
  RoutingDuty(BoundedRing<RoutingEvent>& events, Responder responder, net::HttpClient& upstreams,
              ClaimsPort claims, JobsPort jobs, metrics::MetricRegistry& metrics,
              const RoutingOptions& options, Chooser chooser)
      : events_(events),
        responder_(responder),
        claims_(claims),
        jobs_(jobs),
        metrics_(metrics),
        options_(options),
        chooser_(std::move(chooser)),
        view_(options_, outstanding_, metrics),
        admission_(options_, view_, teams_),
        attempts_(upstreams, options_, outstanding_, teams_),
        waiting_(options.waiting_requests),
        retries_(options.max_attempts, options.retry_budget_percent) {}
  RoutingDuty(const RoutingDuty&) = delete;
  RoutingDuty& operator=(const RoutingDuty&) = delete;

  /// @brief Handles events until the ring is closed and drained. Call once.
  void Run() {
    while (true) {
      auto event = NextEvent();
      if (!event && events_.closed() && events_.size() == 0) {
        return;
      }
      now_ = Clock::now();
      outstanding_.SetNow(now_);
      if (event) {
        std::visit([this](auto& it) { this->Handle(std::move(it)); }, *event);
      }
      RefuseExpired();
      DispatchWaiting();
    }
  }

 private:
  using Clock = std::chrono::steady_clock;

  // A worker that is paused after a failure becomes available again without an event, so it is
  // polled for while requests wait.
  static constexpr std::chrono::milliseconds kRecheckInterval{20};

  std::optional<RoutingEvent> NextEvent() {
    return waiting_.empty() ? events_.Pop() : events_.PopFor(kRecheckInterval);
  }

  void Handle(ViewUpdate update) { view_.Update(std::move(update)); }
  void Handle(ViewConfirmed confirmed) { view_.Confirm(confirmed); }
  void Handle(std::shared_ptr<const ListedWorkers> listed) { view_.LimitTo(std::move(listed)); }

  void Handle(net::ServerRequest request) {
    auto parsed = ParseOrRefuse(std::move(request));
    if (!parsed) {
      return;
    }
    if (IsJobTarget(parsed->request.target)) {
      SendToScheduler(std::move(*parsed));
      return;
    }
    retries_.AddRequest();
    if (claims_.NeedsClaim(*parsed)) {
      StartClaim(std::move(*parsed));
    } else {
      Admit(std::move(*parsed));
    }
  }

  // Returns nothing for a malformed request, which is refused.
  std::optional<CallerRequest> ParseOrRefuse(net::ServerRequest request) {
    const net::ExchangeId exchange = request.id;
    const std::string id = options_.instance + "-" + std::to_string(exchange.value());
    std::optional<CallerRequest> parsed;
    const auto refusal = RefusalOf([&]() -> Result<void> {
      BOOST_LEAF_AUTO(it, ParseCallerRequest(std::move(request), id, now_));
      parsed.emplace(std::move(it));
      return {};
    });
    if (refusal) {
      responder_.Refuse(exchange, *refusal);
    }
    return parsed;
  }

  void SendToScheduler(CallerRequest request) {
    const net::ExchangeId exchange = request.exchange;
    if (!jobs_.is_open()) {
      responder_.Refuse(exchange, {ResultCode::kPeerUnavailable, RunState::kDidNotRun,
                                   "no scheduler is configured"});
    } else if (!jobs_.TrySend(std::move(request))) {
      responder_.Refuse(exchange, {ResultCode::kQueueFull, RunState::kDidNotRun,
                                   "the ring of job requests is full"});
    }
  }

  void Handle(ClaimedRequest claimed) { Admit(std::move(claimed.request)); }

  void StartClaim(CallerRequest request) {
    if (const auto refusal = admission_.Check(request, now_)) {
      responder_.Refuse(request, *refusal);
      return;
    }
    const net::ExchangeId exchange = request.exchange;
    if (!claims_.TryClaim(std::move(request))) {
      responder_.Refuse(exchange, {ResultCode::kQueueFull, RunState::kDidNotRun,
                                   "the ring of claim events is full"});
    }
  }

  void Admit(CallerRequest request) {
    if (const auto refusal = admission_.Check(request, now_)) {
      FinishWithRefusal(request, *refusal);
      return;
    }
    // Copied first, because the call below moves the request.
    const std::string team = request.team;
    const RequestPriority priority = request.priority;
    auto shed = waiting_.Add(team, priority, now_ + options_.max_wait, std::move(request));
    if (shed) {
      FinishWithRefusal(
          *shed, {ResultCode::kOverloaded, RunState::kDidNotRun, "too many requests are waiting"});
    }
  }

  void DispatchWaiting() {
    while (!waiting_.empty() && view_.IsFresh(now_)) {
      const Upstream* upstream = chooser_.Choose(view_.routing(), outstanding_, {});
      if (upstream == nullptr) {
        return;
      }
      auto request = waiting_.TakeNext(
          [this](const std::string& team) { return admission_.IsBelowTeamLimit(team); },
          [this](const std::string& team) { return teams_.At(team); });
      if (!request) {
        return;
      }
      Send(std::move(*request), *upstream);
    }
  }

  void RefuseExpired() {
    if (waiting_.empty() || now_ < next_expiry_check_) {
      return;
    }
    next_expiry_check_ = now_ + kRecheckInterval;
    metrics_.Set(kWaiting, static_cast<double>(waiting_.size()));
    for (const CallerRequest& it : waiting_.TakeExpired(now_)) {
      FinishWithRefusal(it, admission_.WaitTimeoutRefusal(it, now_));
    }
  }

  void Send(CallerRequest request, const Upstream& upstream) {
    if (!attempts_.Send(request, upstream, now_)) {
      FinishWithRefusal(request, {ResultCode::kQueueFull, RunState::kDidNotRun,
                                  "the ring of upstream calls is full"});
    }
  }

  void Handle(net::ClientResult result) {
    const auto refusal = AttemptRefusal(result);
    CallerRequest request = attempts_.End(result.id, refusal);
    if (!refusal) {
      FinishWithResponse(request, std::move(*result.response));
    } else if (!TryRetry(request, *refusal)) {
      FinishWithRefusal(request, *refusal);
    }
  }

  // Takes the request only if it is retried.
  bool TryRetry(CallerRequest& request, const Refusal& refusal) {
    if (!view_.IsFresh(now_) || now_ >= request.received_at + options_.request_timeout) {
      return false;
    }
    const Upstream* upstream = chooser_.Choose(view_.routing(), outstanding_, request.failed_at);
    if (upstream == nullptr && refusal.run_state != RunState::kDidNotRun) {
      // Only the connection is known to have failed; the same worker may answer on another one.
      upstream = chooser_.Choose(view_.routing(), outstanding_, {});
    }
    if (upstream == nullptr) {
      return false;
    }
    const auto reason = retries_.Decide(request.is_idempotent, request.attempts, refusal);
    if (!reason) {
      return false;
    }
    metrics_.Count(kRetries, "reason", RetryReasonName(*reason));
    Send(std::move(request), *upstream);
    return true;
  }

  void FinishWithResponse(const CallerRequest& request, net::HttpResponse response) {
    if (request.claim) {
      claims_.ReportOutcome(*request.claim, response);
    }
    responder_.Answer(request, std::move(response));
  }

  // A last attempt that did not run does not exclude that an earlier one did.
  void FinishWithRefusal(const CallerRequest& request, const Refusal& last) {
    const bool earlier_may_have_run =
        request.may_have_run && last.run_state == RunState::kDidNotRun;
    const Refusal refusal{last.code, earlier_may_have_run ? RunState::kMayHaveRun : last.run_state,
                          last.detail};
    if (request.claim) {
      claims_.ReportOutcome(*request.claim, refusal);
    }
    responder_.Refuse(request, refusal);
  }

  BoundedRing<RoutingEvent>& events_;
  Responder responder_;
  ClaimsPort claims_;
  JobsPort jobs_;
  metrics::MetricRegistry& metrics_;
  const RoutingOptions options_;
  Chooser chooser_;

  OutstandingRequests outstanding_;
  TeamLoads teams_;
  // The parts below refer to the options and the loads.
  CurrentView view_;
  Admission admission_;
  UpstreamAttempts attempts_;
  FairRequestQueue<CallerRequest> waiting_;
  RetryPolicy retries_;
  MonotonicTime now_;
  MonotonicTime next_expiry_check_;
};

}  // namespace clementineloom::gateway
