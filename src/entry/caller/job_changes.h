#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <utility>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/workload_record.h"
#include "codec/workload_record_codec.h"
#include "entry/caller/admitted_call.h"
#include "entry/caller/caller_answers.h"
#include "entry/caller/caller_hooks.h"
#include "entry/caller/caller_log.h"
#include "entry/caller/job_recorder.h"
#include "entry/port/call_port.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief Serves submissions and cancellations. A repeated one is answered like the first.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class JobChanges {
 public:
  /// Precondition: the references outlive the changes.
  JobChanges(Port& port, const workload::JobTable& jobs, const CallerHooks& hooks,
             const CallerLog<Port>& log, CallerAnswers<Port>& answers,
             JobRecorder<Platform, Port>& recorder)
      : port_(port),
        jobs_(jobs),
        hooks_(hooks),
        log_(log),
        answers_(answers),
        recorder_(recorder) {}

  /// @brief Records a job, and answers once the outcome is known.
  /// Precondition: the call names a well-formed job id, and the request has not been answered.
  void Submit(const net::ServerRequest& request, const AdmittedCall& call) {
    const workload::JobEntry* known = jobs_.Find(call.job);
    if (known != nullptr && known->submission) {
      Repeat(request.id, call.job, *known);
      return;
    }
    auto submission = Platform::ParseJob(request.request.body);
    if (!submission) {
      answers_.Refuse(request.id,
                      {ResultCode::kMalformedRequest, RunState::kDidNotRun, "malformed job body"});
      return;
    }
    submission->id = call.job;
    submission->queue = call.queue;
    submission->team = call.team;
    submission->accepted_at_ms = port_.UnixNowMs();
    if (const auto refusal = hooks_.limit_refusal(*submission)) {
      answers_.RefuseByLimit(request.id, *refusal);
      return;
    }
    const workload::SubmissionSet record{call.job, std::move(*submission)};
    if (!FitsStore(record)) {
      answers_.Refuse(request.id, {ResultCode::kRequestTooLarge, RunState::kDidNotRun,
                                   "the job is larger than a record of the store"});
      return;
    }
    recorder_.Record(request, call, record);
  }

  /// @brief Records the cancellation of a job, known or not, and answers once the outcome is known.
  /// Precondition: the call names a well-formed job id, and the request has not been answered.
  void Cancel(const net::ServerRequest& request, const AdmittedCall& call) {
    const workload::JobEntry* job = jobs_.Find(call.job);
    if (job != nullptr && (job->is_cancelled || job->HasEnded())) {
      Repeat(request.id, call.job, *job);
      return;
    }
    recorder_.Record(request, call, workload::CancellationSet{call.job, true});
  }

 private:
  // Length of the key, which is stored with the record.
  static constexpr std::size_t kKeyLengthBytes = 1;

  // The store would refuse a larger record together with the other records of its append, and the
  // caller would be told to repeat the submission.
  static bool FitsStore(const workload::SubmissionSet& record) {
    const workload::KeyedValue item = codec::EncodeWorkloadRecord(record);
    return kKeyLengthBytes + item.key.size() + item.value.size() <= Platform::kMaxRecordBytes;
  }

  void Repeat(net::ExchangeId exchange, const std::string& id, const workload::JobEntry& job) {
    log_.AlreadyRecorded(answers_.TargetOf(exchange), id, job);
    answers_.Answer(exchange, Platform::AcceptedResponse());
  }

  Port& port_;
  const workload::JobTable& jobs_;
  const CallerHooks& hooks_;
  const CallerLog<Port>& log_;
  CallerAnswers<Port>& answers_;
  JobRecorder<Platform, Port>& recorder_;
};

}  // namespace clementineloom::entry
