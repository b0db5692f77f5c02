#include "clementineloom/workload/future_acceptance.h"

#include <utility>

namespace clementineloom::workload {

std::vector<SubmissionSet> AcceptedInTheFuture(const JobTable& jobs, std::int64_t unix_now_ms) {
  std::vector<SubmissionSet> found;
  for (const auto& [id, job] : jobs.jobs()) {
    if (job.IsOpen() && job.submission->accepted_at_ms > unix_now_ms) {
      JobSubmission submission = *job.submission;
      submission.accepted_at_ms = unix_now_ms;
      found.push_back({id, std::move(submission)});
    }
  }
  return found;
}

}  // namespace clementineloom::workload
