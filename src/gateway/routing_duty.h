#pragma once

#include <algorithm>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <unordered_map>
#include <unordered_set>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/concurrency/bounded_ring.h"
#include "clementineloom/routing/fair_request_queue.h"
#include "clementineloom/routing/outstanding_requests.h"
#include "clementineloom/routing/retry_policy.h"
#include "clementineloom/routing/routing_view_of.h"
#include "clementineloom/routing/team_loads.h"
#include "clementineloom/routing/upstream_chooser.h"
#include "gateway/attempt_refusal.h"
#include "gateway/claims_port.h"
#include "gateway/job_call.h"
#include "gateway/jobs_port.h"
#include "gateway/metric_names.h"
#include "gateway/parse_caller_request.h"
#include "gateway/responder.h"
#include "gateway/routing_event.h"
#include "gateway/routing_options.h"
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
        upstreams_(upstreams),
        claims_(claims),
        jobs_(jobs),
        metrics_(metrics),
        options_(options),
        chooser_(std::move(chooser)),
        waiting_(options.waiting_requests),
        retries_(options.max_attempts, options.retry_budget_percent) {}

  /// @brief Handles events until the ring is closed and drained.
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
  // A non-idempotent request does not use a pooled connection that was idle for longer: the
  // connection may have gone dead, and the request could not be retried.
  static constexpr std::chrono::milliseconds kMaxIdleNonIdempotent{1'000};

  struct InProgress {
    CallerRequest request;
    WorkerId worker;
  };

  std::optional<RoutingEvent> NextEvent() {
    return waiting_.empty() ? events_.Pop() : events_.PopFor(kRecheckInterval);
  }

  void Handle(ViewUpdate update) {
    control_view_ = std::move(update.view);
    fresh_at_ = update.fresh_at;
    UseView();
  }

  void Handle(ViewConfirmed confirmed) { fresh_at_ = std::max(fresh_at_, confirmed.fresh_at); }

  void Handle(std::shared_ptr<const ListedWorkers> listed) {
    listed_ = std::move(listed);
    UseView();
  }

  void UseView() {
    RoutingView view = listed_ ? LimitToListed(*control_view_, *listed_) : *control_view_;
    std::unordered_set<WorkerId> present;
    for (const Upstream& it : view_.upstreams()) {
      present.insert(it.worker);
    }
    for (const Upstream& it : view.upstreams()) {
      if (present.erase(it.worker) == 0) {
        outstanding_.Joined(it.worker);
      }
    }
    std::ranges::for_each(present, [this](WorkerId it) { outstanding_.Left(it); });
    view_ = std::move(view);
    metrics_.Set(kUpstreams, static_cast<double>(view_.upstreams().size()));
  }

  void Handle(net::ServerRequest request) {
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
    if (const auto refusal = CheckAdmission(request)) {
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
    if (const auto refusal = CheckAdmission(request)) {
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

  [[nodiscard]] std::optional<Refusal> CheckAdmission(const CallerRequest& request) const {
    if (view_.upstreams().empty()) {
      return Refusal{ResultCode::kNoUpstream, RunState::kDidNotRun, "no worker is in service"};
    }
    if (!IsViewFresh()) {
      return Refusal{ResultCode::kViewStale, RunState::kDidNotRun, "the log cannot be read"};
    }
    if (!LimitOf(request.team)) {
      return Refusal{ResultCode::kUnknownTeam, RunState::kDidNotRun, request.team};
    }
    return std::nullopt;
  }

  [[nodiscard]] bool IsViewFresh() const { return now_ - fresh_at_ <= options_.max_view_age; }

  [[nodiscard]] std::optional<std::uint32_t> LimitOf(const std::string& team) const {
    if (team.empty()) {
      return options_.anonymous_limit;
    }
    return view_.LimitOf(team);
  }

  [[nodiscard]] bool IsBelowTeamLimit(const std::string& team) const {
    return teams_.At(team) < LimitOf(team).value_or(0);
  }

  void DispatchWaiting() {
    while (!waiting_.empty() && IsViewFresh()) {
      const Upstream* upstream = chooser_.Choose(view_, outstanding_, {});
      if (upstream == nullptr) {
        return;
      }
      auto request =
          waiting_.TakeNext([this](const std::string& team) { return IsBelowTeamLimit(team); },
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
      FinishWithRefusal(it, WaitTimeoutRefusal(it));
    }
  }

  [[nodiscard]] Refusal WaitTimeoutRefusal(const CallerRequest& request) const {
    if (const auto refusal = CheckAdmission(request)) {
      return *refusal;
    }
    if (!IsBelowTeamLimit(request.team)) {
      return {ResultCode::kTeamLimitReached, RunState::kDidNotRun, request.team};
    }
    return {ResultCode::kOverloaded, RunState::kDidNotRun, "no slot became free in time"};
  }

  void Send(CallerRequest request, const Upstream& upstream) {
    const net::CallId call(++last_call_);
    ++request.attempts;
    net::ClientCall message{call, upstream.address, request.request, AttemptTimeout(request)};
    if (!request.is_idempotent) {
      message.max_idle = kMaxIdleNonIdempotent;
    }
    if (!upstreams_.Send(std::move(message))) {
      FinishWithRefusal(request, {ResultCode::kQueueFull, RunState::kDidNotRun,
                                  "the ring of upstream calls is full"});
      return;
    }
    outstanding_.Add(upstream.worker);
    teams_.Add(request.team);
    in_progress_.emplace(call, InProgress{std::move(request), upstream.worker});
  }

  // An attempt that can be retried leaves an equal share of the time for each further attempt.
  [[nodiscard]] std::chrono::milliseconds AttemptTimeout(const CallerRequest& request) const {
    const auto time_left = std::chrono::duration_cast<std::chrono::milliseconds>(
        request.received_at + options_.request_timeout - now_);
    const std::uint32_t attempts_left =
        request.is_idempotent && request.attempts < options_.max_attempts
            ? options_.max_attempts - request.attempts + 1
            : 1;
    return std::max(time_left / attempts_left, std::chrono::milliseconds(1));
  }

  void Handle(net::ClientResult result) {
    auto node = in_progress_.extract(result.id);
    CallerRequest& request = node.mapped().request;
    const WorkerId worker = node.mapped().worker;
    const auto refusal = AttemptRefusal(result);
    if (!refusal) {
      outstanding_.Answered(worker);
    } else if (refusal->code == ResultCode::kUpstreamFailed &&
               refusal->run_state == RunState::kDidNotRun) {
      outstanding_.Failed(worker);
    }
    outstanding_.Remove(worker);
    teams_.Remove(request.team);
    if (!refusal) {
      FinishWithResponse(request, std::move(*result.response));
      return;
    }
    request.failed_at.push_back(worker);
    request.may_have_run |= refusal->run_state != RunState::kDidNotRun;
    if (!TryRetry(request, *refusal)) {
      FinishWithRefusal(request, *refusal);
    }
  }

  bool TryRetry(CallerRequest& request, const Refusal& refusal) {
    if (!IsViewFresh() || now_ >= request.received_at + options_.request_timeout) {
      return false;
    }
    const Upstream* upstream = chooser_.Choose(view_, outstanding_, request.failed_at);
    if (upstream == nullptr && refusal.run_state != RunState::kDidNotRun) {
      // Only the connection is known to have failed; the same worker may answer on another one.
      upstream = chooser_.Choose(view_, outstanding_, {});
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
  net::HttpClient& upstreams_;
  ClaimsPort claims_;
  JobsPort jobs_;
  metrics::MetricRegistry& metrics_;
  const RoutingOptions options_;
  Chooser chooser_;

  std::shared_ptr<const RoutingView> control_view_ = std::make_shared<const RoutingView>();
  std::shared_ptr<const ListedWorkers> listed_;
  RoutingView view_;
  MonotonicTime fresh_at_;
  MonotonicTime now_;
  MonotonicTime next_expiry_check_;

  OutstandingRequests outstanding_;
  TeamLoads teams_;
  FairRequestQueue<CallerRequest> waiting_;
  RetryPolicy retries_;
  std::unordered_map<net::CallId, InProgress> in_progress_;
  std::uint64_t last_call_ = 0;
};

}  // namespace clementineloom::gateway
