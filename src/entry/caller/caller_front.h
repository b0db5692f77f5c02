#pragma once

#include <optional>
#include <string>
#include <utility>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/workload/job_table.h"
#include "entry/caller/admission.h"
#include "entry/caller/admitted_call.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/caller_call.h"
#include "entry/caller/caller_hooks.h"
#include "entry/caller/caller_log.h"
#include "entry/caller/caller_target.h"
#include "entry/caller/job_changes.h"
#include "entry/caller/job_queries.h"
#include "entry/caller/job_recorder.h"
#include "entry/caller/jobs_view.h"
#include "entry/caller/peer_fallback.h"
#include "entry/caller/peer_router.h"
#include "entry/operator/operator_view.h"
#include "entry/port/call_port.h"
#include "entry/store/appender.h"
#include "metrics/metric_registry.h"
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
  /// Precondition: the references outlive the front, and the front outlives the port's calls and
  /// timers.
  CallerFront(Port& port, workload::JobTable& jobs, const OperatorView& operators,
              Appender<Platform, Port>& appender, PeerRouter<Port>& peers,
              metrics::MetricRegistry& metrics, CallerHooks hooks)
      : hooks_(std::move(hooks)),
        view_(port, hooks_),
        log_(port, operators, hooks_),
        answers_(hooks_, log_, metrics),
        fallback_(port, peers, view_, answers_),
        admission_(operators, log_, answers_),
        queries_(jobs, view_, log_, answers_, fallback_),
        recorder_(port, jobs, appender, peers, view_, hooks_, log_, answers_, fallback_, metrics),
        changes_(port, jobs, hooks_, log_, answers_, recorder_) {}
  CallerFront(const CallerFront&) = delete;
  CallerFront& operator=(const CallerFront&) = delete;

  /// @brief Serves a request of a caller or of a peer; it is answered once, possibly later.
  /// Precondition: no unanswered request has the same id.
  void Handle(const net::ServerRequest& request) {
    if (PeerRouter<Port>::IsProbe(request.request)) {
      answers_.Answer(request.id, PeerRouter<Port>::ProbeResponse(view_.AgeWithStore()));
      return;
    }
    const CallerCall call = Platform::ParseCaller(request.request);
    answers_.Expect(request.id, TargetOf(request, call));
    if (is_closed_) {
      answers_.RefuseForNow(request.id, {ResultCode::kDraining, RunState::kDidNotRun,
                                         "the instance is about to end"});
      return;
    }
    if (const auto admitted = admission_.Admit(request.id, call)) {
      Dispatch(request, *admitted);
    }
  }

  /// @brief Answers all requests that wait, and refuses later ones.
  void Close() {
    is_closed_ = true;
    recorder_.GiveUpAll();
    fallback_.GiveUpAll();
  }

 private:
  static CallerTarget TargetOf(const net::ServerRequest& request, const CallerCall& call) {
    const bool is_of_peer = PeerRouter<Port>::IsForwarded(request.request);
    return {request.request.method, call.path, is_of_peer ? "peer" : "caller"};
  }

  void Dispatch(const net::ServerRequest& request, const AdmittedCall& call) {
    if (call.kind == CallKind::kRead && call.job.empty()) {
      queries_.AnswerQueue(request, call.queue.name);
    } else if (!Platform::IsJobId(call.job)) {
      RefuseAsMalformed(request.id, "malformed job id");
    } else if (call.kind == CallKind::kRead) {
      queries_.AnswerJob(request, call);
    } else if (call.kind == CallKind::kSubmit) {
      changes_.Submit(request, call);
    } else if (call.kind == CallKind::kCancel) {
      changes_.Cancel(request, call);
    } else {
      RefuseAsMalformed(request.id, "method not supported");
    }
  }

  void RefuseAsMalformed(net::ExchangeId exchange, const std::string& detail) {
    answers_.Refuse(exchange, {ResultCode::kMalformedRequest, RunState::kDidNotRun, detail});
  }

  // The parts refer to those before them.
  const CallerHooks hooks_;
  const JobsView<Port> view_;
  CallerLog<Port> log_;
  CallerAnswers<Port> answers_;
  PeerFallback<Port> fallback_;
  Admission<Platform, Port> admission_;
  JobQueries<Platform, Port> queries_;
  JobRecorder<Platform, Port> recorder_;
  JobChanges<Platform, Port> changes_;
  bool is_closed_ = false;
};

}  // namespace clementineloom::entry
