#pragma once

#include <chrono>
#include <map>
#include <string>
#include <utility>
#include <variant>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/workload/job_table.h"
#include "codec/workload_record_codec.h"
#include "entry/caller/admitted_call.h"
#include "entry/caller/answer_time.h"
#include "entry/caller/attempt_history.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/caller_hooks.h"
#include "entry/caller/caller_log.h"
#include "entry/caller/jobs_view.h"
#include "entry/caller/peer_fallback.h"
#include "entry/caller/peer_outcome.h"
#include "entry/caller/peer_router.h"
#include "entry/caller/waiting_record.h"
#include "entry/metric_specs.h"
#include "entry/port/call_port.h"
#include "entry/store/appender.h"
#include "logging/event_log.h"
#include "metrics/metric_registry.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Records submissions and cancellations, and answers their callers.
///
/// A record goes to the owner, which batches those of all instances, since a slow store handles
/// only a few appends per second. Without an owner that can be asked, or if it fails, this instance
/// appends the record itself, and after a while asks its peers as well. An owner that is only slow
/// to record is waited for: appends of many instances would delay its records further.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class JobRecorder {
 public:
  /// Precondition: the references outlive the recorder, and the recorder outlives the port's calls
  /// and timers.
  JobRecorder(Port& port, workload::JobTable& jobs, Appender<Platform, Port>& appender,
              PeerRouter<Port>& peers, const JobsView<Port>& view, const CallerHooks& hooks,
              const CallerLog<Port>& log, CallerAnswers<Port>& answers,
              PeerFallback<Port>& fallback, metrics::MetricRegistry& metrics)
      : port_(port),
        jobs_(jobs),
        appender_(appender),
        peers_(peers),
        view_(view),
        hooks_(hooks),
        log_(log),
        answers_(answers),
        fallback_(fallback),
        metrics_(metrics) {}

  /// @brief Records a change of a job. Answers once the outcome is known, or shortly before the
  /// caller's timeout.
  /// Precondition: a configuration is in force, and the request has not been answered.
  void Record(const net::ServerRequest& request, const AdmittedCall& call,
              const workload::WorkloadRecord& record) {
    if (!hooks_.has_store()) {
      // Nothing was sent to the store, so that the request certainly did not run.
      fallback_.ForwardOrRefuse(
          request, call.timeout_ms,
          {ResultCode::kLogUnavailable, RunState::kDidNotRun, "the store cannot be reached"});
      return;
    }
    Await(request.id, call);
    const std::string owner = hooks_.owner();
    if (!PeerRouter<Port>::IsForwarded(request.request) && peers_.IsAvailable(owner)) {
      RecordByOwner(request, record, owner, workload::Milliseconds(call.timeout_ms));
    } else {
      RecordHere(request, record);
    }
  }

  /// @brief Answers all requests that wait for their record to be stored: their outcome is unknown.
  void GiveUpAll() {
    while (!waiting_.empty()) {
      GiveUp(waiting_.begin()->first);
    }
  }

 private:
  // Time after which a request whose append has no answer yet is forwarded to peers as well.
  static constexpr workload::Milliseconds kPeerFallbackDelay{350};
  // Interval at which an owner that has not answered is probed.
  static constexpr workload::Milliseconds kOwnerProbeInterval{300};

  static bool IsSubmission(const workload::WorkloadRecord& record) {
    return std::holds_alternative<workload::SubmissionSet>(record);
  }

  void Await(net::ExchangeId exchange, const AdmittedCall& call) {
    waiting_[exchange].job = call.job;
    port_.After(AnswerTime(call.timeout_ms), [this, exchange] { GiveUp(exchange); });
  }

  void RecordByOwner(const net::ServerRequest& request, const workload::WorkloadRecord& record,
                     const std::string& owner, workload::Milliseconds timeout) {
    WaitingRecord& waiting = waiting_.at(request.id);
    waiting.is_forwarded = true;
    waiting.asked_owner = owner;
    peers_.ForwardTo(owner, request.request, timeout,
                     [this, request, record, owner](PeerOutcome outcome) {
                       OnOwnerAnswer(request, record, owner, std::move(outcome));
                     });
    ScheduleOwnerProbe(request, record, owner);
  }

  void ScheduleOwnerProbe(const net::ServerRequest& request, const workload::WorkloadRecord& record,
                          const std::string& owner) {
    port_.After(kOwnerProbeInterval, [this, request, record, owner] {
      if (AwaitsOwner(request.id)) {
        peers_.ProbeHealth(owner, [this, request, record, owner](bool is_healthy) {
          OnOwnerProbed(request, record, owner, is_healthy);
        });
      }
    });
  }

  [[nodiscard]] bool AwaitsOwner(net::ExchangeId exchange) const {
    const auto it = waiting_.find(exchange);
    return it != waiting_.end() && !it->second.asked_owner.empty();
  }

  void OnOwnerProbed(const net::ServerRequest& request, const workload::WorkloadRecord& record,
                     const std::string& owner, bool is_healthy) {
    if (!AwaitsOwner(request.id)) {
      return;
    }
    waiting_.at(request.id).is_owner_healthy = is_healthy;
    if (is_healthy) {
      ScheduleOwnerProbe(request, record, owner);
    } else {
      logging::LogEvent(logging::LogLevel::kWarning, "owner_given_up",
                        {{"job", waiting_.at(request.id).job}, {"owner", owner}});
      RecordInPlaceOfOwner(request, record, AttemptHistory().With(RunState::kMayHaveRun));
    }
  }

  // Precondition: the request waits for the owner.
  void RecordInPlaceOfOwner(const net::ServerRequest& request,
                            const workload::WorkloadRecord& record,
                            const AttemptHistory& attempts) {
    WaitingRecord& waiting = waiting_.at(request.id);
    waiting.is_forwarded = false;
    waiting.asked_owner.clear();
    waiting.history = waiting.history.With(attempts);
    RecordHere(request, record);
  }

  void OnOwnerAnswer(const net::ServerRequest& request, const workload::WorkloadRecord& record,
                     const std::string& owner, PeerOutcome outcome) {
    const auto it = waiting_.find(request.id);
    if (it == waiting_.end()) {
      return;
    }
    if (IsRefusedByLimit(outcome) && it->second.history.MayBeRefused()) {
      waiting_.erase(it);
      answers_.AnswerFromPeer(request.id, std::move(*outcome.answer));
      return;
    }
    if (!outcome.is_success()) {
      if (AwaitsOwner(request.id)) {
        RecordInPlaceOfOwner(request, record, outcome.history);
      }
      return;
    }
    logging::LogEvent(logging::LogLevel::kInfo, "job_recorded_by_owner",
                      {{"job", it->second.job}, {"owner", owner}});
    jobs_.Apply(record);
    waiting_.erase(it);
    answers_.Answer(request.id, std::move(*outcome.answer));
  }

  // Whether the owner refused a submission by the limits of its team, so that it must not be stored
  // by anybody.
  static bool IsRefusedByLimit(const PeerOutcome& outcome) {
    constexpr int kTooManyRequests = 429;
    return outcome.answer && outcome.answer->status == kTooManyRequests &&
           outcome.history.MayBeRefused();
  }

  // Precondition: the request is in waiting_.
  void RecordHere(const net::ServerRequest& request, const workload::WorkloadRecord& record) {
    if (!PeerRouter<Port>::IsForwarded(request.request)) {
      port_.After(kPeerFallbackDelay, [this, request] { ForwardToPeers(request); });
    }
    appender_.Append(
        {codec::EncodeWorkloadRecord(record)},
        [this, exchange = request.id, target = answers_.TargetOf(request.id), record,
         job = waiting_.at(request.id).job, sent_at = port_.Now()](AppendStatus status) {
          const auto duration = port_.Now() - sent_at;
          metrics_.Observe(kRecordSeconds.name, duration);
          if (status == AppendStatus::kAppended) {
            log_.Recorded(IsSubmission(record), job,
                          waiting_.contains(exchange) ? target.asker : "nobody",
                          std::chrono::duration_cast<workload::Milliseconds>(duration));
            OnAppended(exchange, record);
          } else {
            OnAppendFailed(exchange, status);
          }
        });
  }

  void OnAppended(net::ExchangeId exchange, const workload::WorkloadRecord& record) {
    metrics_.Count((IsSubmission(record) ? kJobsAccepted : kJobsCancelled).name);
    jobs_.Apply(record);
    if (waiting_.erase(exchange) > 0) {
      answers_.Answer(exchange, Platform::AcceptedResponse());
    }
    hooks_.on_jobs_changed();
  }

  void OnAppendFailed(net::ExchangeId exchange, AppendStatus status) {
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

  // A peer may reach the store when this instance does not. While peers are being asked, a refusal
  // by the store is held back, because one of them may have recorded the request.
  void ForwardToPeers(const net::ServerRequest& request) {
    const auto it = waiting_.find(request.id);
    if (it == waiting_.end()) {
      return;
    }
    it->second.is_forwarded = true;
    peers_.Forward(request.request, view_.Age(),
                   [this, exchange = request.id](PeerOutcome outcome) {
                     OnPeersAnswer(exchange, std::move(outcome));
                   });
  }

  void OnPeersAnswer(net::ExchangeId exchange, PeerOutcome outcome) {
    const auto it = waiting_.find(exchange);
    if (it == waiting_.end()) {
      return;
    }
    if (outcome.is_success()) {
      waiting_.erase(it);
      answers_.AnswerFromPeer(exchange, std::move(*outcome.answer));
      return;
    }
    it->second.is_forwarded = false;
    it->second.history = it->second.history.With(outcome.history);
    if (it->second.is_refused_here) {
      RefuseWaiting(exchange);
    }
  }

  // Ends a request that neither this instance nor a peer is known to have recorded.
  // Precondition: it is in waiting_.
  void RefuseWaiting(net::ExchangeId exchange) {
    const AttemptHistory history = waiting_.at(exchange).history;
    if (!history.MayBeRefused()) {
      log_.OutcomeUnknown(answers_.TargetOf(exchange), waiting_.at(exchange));
    }
    waiting_.erase(exchange);
    answers_.RefuseAfter(
        history, exchange,
        {ResultCode::kLogUnavailable, RunState::kDidNotRun, "the store did not take the record"});
  }

  void GiveUp(net::ExchangeId exchange) {
    const auto it = waiting_.find(exchange);
    if (it == waiting_.end()) {
      return;
    }
    log_.OutcomeUnknown(answers_.TargetOf(exchange), it->second);
    waiting_.erase(it);
    answers_.Refuse(exchange,
                    {ResultCode::kAppendUnknown, RunState::kMayHaveRun, "no answer of the store"});
  }

  Port& port_;
  workload::JobTable& jobs_;
  Appender<Platform, Port>& appender_;
  PeerRouter<Port>& peers_;
  const JobsView<Port>& view_;
  const CallerHooks& hooks_;
  const CallerLog<Port>& log_;
  CallerAnswers<Port>& answers_;
  PeerFallback<Port>& fallback_;
  metrics::MetricRegistry& metrics_;
  // Requests that wait for their record to be stored.
  std::map<net::ExchangeId, WaitingRecord> waiting_;
};

}  // namespace clementineloom::entry
