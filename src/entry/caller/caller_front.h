#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "clementineloom/errors/result_code_table.h"
#include "clementineloom/errors/run_state_name.h"
#include "clementineloom/workload/job_table.h"
#include "codec/workload_record_codec.h"
#include "entry/caller/attempt_history.h"
#include "entry/caller/caller_call.h"
#include "entry/caller/caller_target.h"
#include "entry/caller/peer_outcome.h"
#include "entry/caller/peer_router.h"
#include "entry/caller/waiting_record.h"
#include "entry/metric_specs.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"
#include "entry/store/appender.h"
#include "logging/event_budget.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"
#include "net/refusal_response.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Answers callers: records submissions and cancellations, and reports the states of jobs.
///
/// A submission or cancellation is answered with success once the store has acknowledged its
/// record, with 503 if it was certainly not recorded, and with 504 if the outcome is not known in
/// time.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class CallerFront {
 public:
  struct Hooks {
    std::function<void(net::ExchangeId, net::HttpResponse)> answer;
    /// Runs after a job was accepted or cancelled by this instance.
    std::function<void()> on_jobs_changed;
    /// When the store last answered a read of the jobs; empty before all jobs are loaded.
    std::function<std::optional<workload::SteadyTime>()> jobs_read_at;
    /// Whether the store is believed to be reachable.
    std::function<bool()> has_store;
    /// The instance that owns the workers; empty if it is this one or not known.
    std::function<std::string()> owner;
  };

  CallerFront(Port& port, workload::JobTable& jobs, const OperatorView& operators,
              Appender<Platform, Port>& appender, PeerRouter<Port>& peers,
              metrics::MetricRegistry& metrics, Hooks hooks)
      : port_(port),
        jobs_(jobs),
        operators_(operators),
        appender_(appender),
        peers_(peers),
        metrics_(metrics),
        hooks_(std::move(hooks)) {}

  void Handle(net::ServerRequest request) {
    if (PeerRouter<Port>::IsProbe(request.request)) {
      Answer(request.id, PeerRouter<Port>::ProbeResponse(
                             hooks_.has_store() ? std::optional(ViewAge()) : std::nullopt));
      return;
    }
    const CallerCall call = Platform::ParseCaller(request.request);
    targets_.emplace(request.id,
                     CallerTarget{request.request.method, call.path, std::string{Asker(request)}});
    if (!operators_.config()) {
      Refuse(request.id,
             {ResultCode::kViewStale, RunState::kDidNotRun, "no configuration loaded yet"});
      return;
    }
    const workload::WorkloadConfig& config = *operators_.config();
    const workload::Queue* queue = config.Route(call.host, call.path);
    if (queue == nullptr) {
      Refuse(request.id, {ResultCode::kUnknownJob, RunState::kDidNotRun, "no such queue"});
      return;
    }
    const workload::TeamAccess* team = config.TeamOfKey(call.key);
    if (team == nullptr && !queue->is_public) {
      LogUnauthorized(call.path, queue->name);
      Answer(request.id, Platform::UnauthorizedResponse());
      return;
    }
    Dispatch(request, call, *queue, team == nullptr ? std::string() : team->name);
  }

 private:
  // Time reserved for the answer to reach the caller before the caller's timeout.
  static constexpr workload::Milliseconds kAnswerMargin{150};
  // Callers retry for a few seconds in total: with a shorter delay they use up their attempts
  // within an outage, and with a longer one they have only one attempt left.
  static constexpr std::chrono::seconds kRetryAfterOutage{1};
  // Time after which a request whose append has no answer yet is forwarded to peers as well.
  static constexpr workload::Milliseconds kPeerFallbackDelay{350};
  // A job accepted by another instance must be visible here within this time, so that an older view
  // must not report a job as missing.
  static constexpr workload::Milliseconds kMaxViewAge{2'400};

  void Dispatch(const net::ServerRequest& request, const CallerCall& call,
                const workload::Queue& queue, const std::string& team) {
    const std::string id = call.path.substr(queue.path_prefix.size());
    if (call.kind == CallKind::kRead && id.empty()) {
      Answer(request.id, Platform::QueueResponse(jobs_.PendingCount(queue.name)));
    } else if (!Platform::IsJobId(id)) {
      Refuse(request.id, {ResultCode::kMalformedRequest, RunState::kDidNotRun, "malformed job id"});
    } else if (call.kind == CallKind::kRead) {
      AnswerJobState(request, id);
    } else if (call.kind == CallKind::kSubmit) {
      Submit(request, call, queue, team, id);
    } else if (call.kind == CallKind::kCancel) {
      Cancel(request, call, id);
    } else {
      Refuse(request.id,
             {ResultCode::kMalformedRequest, RunState::kDidNotRun, "method not supported"});
    }
  }

  void AnswerJobState(const net::ServerRequest& request, const std::string& id) {
    const workload::JobEntry* job = jobs_.Find(id);
    if (job != nullptr && job->submission) {
      Answer(request.id, Platform::StateResponse(job->State()));
      return;
    }
    const auto read_at = hooks_.jobs_read_at();
    if (!read_at || port_.Now() - *read_at > kMaxViewAge) {
      ForwardOrRefuse(
          request, {ResultCode::kViewStale, RunState::kDidNotRun, "the view of the jobs is stale"});
      return;
    }
    Answer(request.id, Platform::NoSuchJobResponse());
  }

  void Submit(const net::ServerRequest& request, const CallerCall& call,
              const workload::Queue& queue, const std::string& team, const std::string& id) {
    const workload::JobEntry* known = jobs_.Find(id);
    if (known != nullptr && known->submission) {
      LogAlreadyRecorded(request, id, *known);
      Answer(request.id, Platform::AcceptedResponse());
      return;
    }
    auto submission = Platform::ParseJob(request.request.body);
    if (!submission) {
      Refuse(request.id,
             {ResultCode::kMalformedRequest, RunState::kDidNotRun, "malformed job body"});
      return;
    }
    submission->id = id;
    submission->queue = queue;
    submission->team = team;
    submission->accepted_at_ms = port_.UnixNowMs();
    Record(request, call, workload::SubmissionSet{id, std::move(*submission)}, id);
  }

  void Cancel(const net::ServerRequest& request, const CallerCall& call, const std::string& id) {
    const workload::JobEntry* job = jobs_.Find(id);
    if (job != nullptr && (job->is_cancelled || job->HasEnded())) {
      LogAlreadyRecorded(request, id, *job);
      Answer(request.id, Platform::AcceptedResponse());
      return;
    }
    Record(request, call, workload::CancellationSet{id, true}, id);
  }

  // Time since the last answer of the store; an hour, as good as infinite, before the first one.
  workload::Milliseconds ViewAge() const {
    const auto read_at = hooks_.jobs_read_at();
    return read_at ? std::chrono::duration_cast<workload::Milliseconds>(port_.Now() - *read_at)
                   : workload::Milliseconds(std::chrono::hours(1));
  }

  // Forwards a request to the peers; refuses it if no peer takes it.
  void ForwardOrRefuse(const net::ServerRequest& request, Refusal refusal) {
    if (PeerRouter<Port>::IsForwarded(request.request)) {
      RefuseForNow(request.id, refusal);
      return;
    }
    peers_.Forward(
        request.request, ViewAge(),
        [this, exchange = request.id, refusal = std::move(refusal)](PeerOutcome outcome) {
          if (outcome.answer) {
            LogPeerAnswer(exchange, *outcome.answer);
            Answer(exchange, std::move(*outcome.answer));
          } else {
            RefuseAfter(outcome.history, exchange, refusal);
          }
        });
  }

  // Answers once the outcome of the record is known, or shortly before the caller's timeout.
  // Records go through the owner, which batches those of all instances, since a slow store handles
  // only a few appends per second.
  void Record(const net::ServerRequest& request, const CallerCall& call,
              workload::WorkloadRecord record, const std::string& id) {
    if (!hooks_.has_store()) {
      // Nothing was sent to the store, so that the request certainly did not run.
      ForwardOrRefuse(request, {ResultCode::kLogUnavailable, RunState::kDidNotRun,
                                "the store cannot be reached"});
      return;
    }
    const net::ExchangeId exchange = request.id;
    waiting_[exchange].job = id;
    port_.After(std::max(workload::Milliseconds(call.timeout_ms) - kAnswerMargin,
                         workload::Milliseconds(0)),
                [this, exchange] { OnAnswerDeadline(exchange); });
    const std::string owner = hooks_.owner();
    if (!PeerRouter<Port>::IsForwarded(request.request) && peers_.IsAvailable(owner)) {
      RecordByOwner(request, record, owner);
    } else {
      RecordHere(request, record);
    }
  }

  void RecordByOwner(const net::ServerRequest& request, const workload::WorkloadRecord& record,
                     const std::string& owner) {
    WaitingRecord& waiting = waiting_.at(request.id);
    waiting.is_forwarded = true;
    waiting.asked_owner = owner;
    peers_.ForwardTo(owner, request.request, [this, request, record, owner](PeerOutcome outcome) {
      OnOwnerAnswer(request, record, owner, std::move(outcome));
    });
  }

  void OnOwnerAnswer(const net::ServerRequest& request, const workload::WorkloadRecord& record,
                     const std::string& owner, PeerOutcome outcome) {
    const auto it = waiting_.find(request.id);
    if (it == waiting_.end()) {
      return;
    }
    it->second.is_forwarded = false;
    it->second.asked_owner.clear();
    if (!outcome.is_success()) {
      it->second.history = it->second.history.With(outcome.history);
      RecordHere(request, record);
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "job_recorded_by_owner",
                      {{"job", it->second.job}, {"owner", owner}});
    jobs_.Apply(record);
    waiting_.erase(it);
    Answer(request.id, std::move(*outcome.answer));
  }

  // Precondition: the request is in waiting_.
  void RecordHere(const net::ServerRequest& request, const workload::WorkloadRecord& record) {
    if (!PeerRouter<Port>::IsForwarded(request.request)) {
      port_.After(kPeerFallbackDelay, [this, request] { ForwardToPeers(request); });
    }
    const std::string job = waiting_.at(request.id).job;
    appender_.Append({codec::EncodeWorkloadRecord(record)},
                     [this, exchange = request.id, asker = Asker(request), record, job,
                      sent_at = port_.Now()](AppendStatus status) {
                       const auto duration = port_.Now() - sent_at;
                       metrics_.Observe(kRecordSeconds.name, duration);
                       if (status == AppendStatus::kAppended) {
                         LogRecorded(exchange, asker, record, job,
                                     std::chrono::duration_cast<workload::Milliseconds>(duration));
                       }
                       OnRecorded(exchange, record, status);
                     });
  }

  void OnRecorded(net::ExchangeId exchange, const workload::WorkloadRecord& record,
                  AppendStatus status) {
    if (status == AppendStatus::kAppended) {
      const bool is_job = std::holds_alternative<workload::SubmissionSet>(record);
      metrics_.Count((is_job ? kJobsAccepted : kJobsCancelled).name);
      jobs_.Apply(record);
      if (waiting_.erase(exchange) > 0) {
        Answer(exchange, Platform::AcceptedResponse());
      }
      hooks_.on_jobs_changed();
      return;
    }
    const auto it = waiting_.find(exchange);
    if (it == waiting_.end()) {
      return;
    }
    it->second.is_refused_here = status == AppendStatus::kRefused;
    it->second.history = it->second.history.With(
        status == AppendStatus::kRefused ? RunState::kDidNotRun : RunState::kMayHaveRun);
    if (!it->second.is_forwarded) {
      RefuseWaiting(exchange);
    }
  }

  // Ends a request that neither this instance nor a peer is known to have recorded.
  void RefuseWaiting(net::ExchangeId exchange) {
    const AttemptHistory history = waiting_.at(exchange).history;
    if (!history.MayBeRefused()) {
      LogOutcomeUnknown(exchange);
    }
    waiting_.erase(exchange);
    RefuseAfter(
        history, exchange,
        {ResultCode::kLogUnavailable, RunState::kDidNotRun, "the store did not take the record"});
  }

  // A peer may reach the store when this instance does not. While peers are being asked, a refusal
  // by the store is held back, because one of them may have recorded the request.
  void ForwardToPeers(const net::ServerRequest& request) {
    const auto it = waiting_.find(request.id);
    if (it == waiting_.end()) {
      return;
    }
    it->second.is_forwarded = true;
    peers_.Forward(request.request, ViewAge(), [this, exchange = request.id](PeerOutcome outcome) {
      OnPeersAnswer(exchange, std::move(outcome));
    });
  }

  void OnPeersAnswer(net::ExchangeId exchange, PeerOutcome outcome) {
    const auto it = waiting_.find(exchange);
    if (it == waiting_.end()) {
      return;
    }
    if (outcome.is_success()) {
      LogPeerAnswer(exchange, *outcome.answer);
      waiting_.erase(it);
      Answer(exchange, std::move(*outcome.answer));
      return;
    }
    it->second.is_forwarded = false;
    it->second.history = it->second.history.With(outcome.history);
    if (it->second.is_refused_here) {
      RefuseWaiting(exchange);
    }
  }

  void OnAnswerDeadline(net::ExchangeId exchange) {
    const auto it = waiting_.find(exchange);
    if (it == waiting_.end()) {
      return;
    }
    LogOutcomeUnknown(exchange);
    waiting_.erase(it);
    Refuse(exchange, {ResultCode::kAppendUnknown, RunState::kMayHaveRun, "no answer of the store"});
  }

  // Refuses a request if no attempt may have run; otherwise answers that its outcome is unknown.
  void RefuseAfter(const AttemptHistory& attempts, net::ExchangeId exchange,
                   const Refusal& refusal) {
    if (attempts.MayBeRefused()) {
      RefuseForNow(exchange, refusal);
    } else {
      Refuse(exchange, {ResultCode::kAppendUnknown, RunState::kMayHaveRun,
                        "the outcome of the record is unknown"});
    }
  }

  // Refuses with Retry-After and closes the connection, so that the caller's retry can reach
  // another instance.
  void RefuseForNow(net::ExchangeId exchange, const Refusal& refusal) {
    LogRefusal(exchange, refusal);
    net::HttpResponse response = net::RefusalResponse(refusal);
    response.headers =
        response.headers.With("Retry-After", std::to_string(kRetryAfterOutage.count()));
    response.closes_connection = true;
    Answer(exchange, std::move(response));
  }

  void Refuse(net::ExchangeId exchange, const Refusal& refusal) {
    LogRefusal(exchange, refusal);
    Answer(exchange, net::RefusalResponse(refusal));
  }

  void LogRefusal(net::ExchangeId exchange, const Refusal& refusal) {
    const CallerTarget target = TargetOf(exchange);
    metrics_.Count(kRefusals.name, kRefusals.label, ResultCodeName(refusal.code));
    if (!refusal_budget_.Allow(port_.Now())) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "request_refused",
                      {{"path", target.path},
                       {"method", target.method},
                       {"code", static_cast<int>(refusal.code)},
                       {"run_state", RunStateName(refusal.run_state)},
                       {"detail", refusal.detail},
                       {"answers", target.asker},
                       {"view_age_ms", ViewAge().count()},
                       {"config_version", operators_.config() ? operators_.config()->version : 0},
                       {"left_out", refusal_budget_.TakeLeftOut()}});
  }

  // Has a budget of its own, so that callers without a key do not displace lines of refusals.
  void LogUnauthorized(const std::string& path, const std::string& queue) {
    if (!unauthorized_budget_.Allow(port_.Now())) {
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "request_unauthorized",
                      {{"path", path},
                       {"queue", queue},
                       {"config_version", operators_.config()->version},
                       {"left_out", unauthorized_budget_.TakeLeftOut()}});
  }

  void LogRecorded(net::ExchangeId exchange, std::string_view asker,
                   const workload::WorkloadRecord& record, const std::string& job,
                   workload::Milliseconds duration) {
    const bool is_job = std::holds_alternative<workload::SubmissionSet>(record);
    const bool is_awaited = waiting_.contains(exchange);
    logging::LogEvent(logging::LogLevel::kInfo, is_job ? "job_accepted" : "job_cancelled",
                      {{"job", job},
                       {"record_ms", duration.count()},
                       {"answers", is_awaited ? asker : "nobody"},
                       {"config_version", operators_.config()->version}});
  }

  static void LogAlreadyRecorded(const net::ServerRequest& request, const std::string& job,
                                 const workload::JobEntry& entry) {
    logging::LogEvent(logging::LogLevel::kInfo, "request_already_recorded",
                      {{"job", job},
                       {"method", request.request.method},
                       {"answers", Asker(request)},
                       {"state", static_cast<int>(entry.State())}});
  }

  // What an unanswered request asks for; empty for an answered one.
  CallerTarget TargetOf(net::ExchangeId exchange) const {
    const auto found = targets_.find(exchange);
    return found == targets_.end() ? CallerTarget() : found->second;
  }

  // Who sent a request.
  static std::string_view Asker(const net::ServerRequest& request) {
    return PeerRouter<Port>::IsForwarded(request.request) ? "peer" : "caller";
  }

  // Reads are not logged: callers repeat them until a job ends.
  void LogPeerAnswer(net::ExchangeId exchange, const net::HttpResponse& answer) const {
    const auto target = targets_.find(exchange);
    if (target != targets_.end() && target->second.method != "GET") {
      logging::LogEvent(logging::LogLevel::kInfo, "peer_answered_request",
                        {{"path", target->second.path},
                         {"method", target->second.method},
                         {"status", answer.status}});
    }
  }

  // Precondition: the request is in waiting_.
  void LogOutcomeUnknown(net::ExchangeId exchange) const {
    const WaitingRecord& waiting = waiting_.at(exchange);
    const bool awaits_owner = !waiting.asked_owner.empty();
    const char* const awaits =
        awaits_owner ? "owner" : (waiting.is_refused_here ? "peer" : "store");
    logging::LogEvent(logging::LogLevel::kWarning, "job_outcome_unknown",
                      {{"job", waiting.job},
                       {"code", static_cast<int>(ResultCode::kAppendUnknown)},
                       {"awaits", awaits},
                       {"answers", TargetOf(exchange).asker},
                       {"owner", awaits_owner ? waiting.asked_owner : hooks_.owner()},
                       {"view_age_ms", ViewAge().count()},
                       {"config_version", operators_.config()->version}});
  }

  void Answer(net::ExchangeId exchange, net::HttpResponse response) {
    targets_.erase(exchange);
    hooks_.answer(exchange, std::move(response));
  }

  Port& port_;
  workload::JobTable& jobs_;
  const OperatorView& operators_;
  Appender<Platform, Port>& appender_;
  PeerRouter<Port>& peers_;
  metrics::MetricRegistry& metrics_;
  const Hooks hooks_;
  // Limits logging under load: it runs on the decision thread, and more of it would delay the
  // decisions.
  static constexpr std::uint32_t kMaxRefusalLogsPerSecond = 20;
  logging::EventBudget refusal_budget_{kMaxRefusalLogsPerSecond};
  logging::EventBudget unauthorized_budget_{kMaxRefusalLogsPerSecond};
  // Unanswered requests, for the log.
  std::map<net::ExchangeId, CallerTarget> targets_;
  // Requests that wait for their record to be stored.
  std::map<net::ExchangeId, WaitingRecord> waiting_;
};

}  // namespace clementineloom::entry
