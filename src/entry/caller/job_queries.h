#pragma once

#include <string>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/workload/job_table.h"
#include "entry/caller/admitted_call.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/caller_log.h"
#include "entry/caller/jobs_view.h"
#include "entry/caller/peer_fallback.h"
#include "entry/port/call_port.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Answers callers' reads of queues and of jobs.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class JobQueries {
 public:
  /// Precondition: the references outlive the queries.
  JobQueries(const workload::JobTable& jobs, const JobsView<Port>& view, CallerLog<Port>& log,
             CallerAnswers<Port>& answers, PeerFallback<Port>& fallback)
      : jobs_(jobs), view_(view), log_(log), answers_(answers), fallback_(fallback) {}

  /// @brief Answers with the number of pending jobs of a queue.
  /// Precondition: the request has not been answered.
  void AnswerQueue(const net::ServerRequest& request, const std::string& queue) {
    answers_.Answer(request.id, Platform::QueueResponse(jobs_.PendingCount(queue)));
  }

  /// @brief Answers with the state of a job; lets peers answer if this instance does not know the
  /// job and its view is stale. Precondition: the request has not been answered.
  void AnswerJob(const net::ServerRequest& request, const AdmittedCall& call) {
    const workload::JobEntry* job = jobs_.Find(call.job);
    if (job != nullptr && job->submission) {
      answers_.Answer(request.id, Platform::StateResponse(job->State()));
    } else if (view_.IsStale()) {
      fallback_.ForwardOrRefuse(
          request, call.timeout_ms,
          {ResultCode::kViewStale, RunState::kDidNotRun, "the view of the jobs is stale"});
    } else {
      log_.JobNotFound(answers_.TargetOf(request.id), "view");
      answers_.Answer(request.id, Platform::NoSuchJobResponse());
    }
  }

 private:
  const workload::JobTable& jobs_;
  const JobsView<Port>& view_;
  CallerLog<Port>& log_;
  CallerAnswers<Port>& answers_;
  PeerFallback<Port>& fallback_;
};

}  // namespace clementineloom::entry
