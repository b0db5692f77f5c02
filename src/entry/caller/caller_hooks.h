#pragma once

#include <functional>
#include <optional>
#include <string>

#include "clementineloom/workload/job_submission.h"
#include "clementineloom/workload/steady_time.h"
#include "entry/caller/limit_refusal.h"
#include "entry/caller/view_details.h"
#include "entry/jobs/job_removal.h"
#include "net/http_response.h"
#include "net/server_request.h"

namespace clementineloom::entry {

/// @brief What the caller front asks of, and tells to, its instance. All must be set.
/// Thread safety: none; called on the thread of the port.
struct CallerHooks {
  std::function<void(net::ExchangeId, net::HttpResponse)> answer;
  /// Runs after a job was accepted or cancelled by this instance.
  std::function<void()> on_jobs_changed;
  /// When the store last answered a read of the jobs; empty before all jobs are loaded.
  std::function<std::optional<workload::SteadyTime>()> jobs_read_at;
  /// Time before which all stored records of jobs are known; empty before all jobs are loaded. An
  /// answer may have waited for this process, so that it is earlier than jobs_read_at.
  std::function<std::optional<workload::SteadyTime>()> jobs_known_until;
  /// Whether the store is believed to be reachable.
  std::function<bool()> has_store;
  /// The refusal of a submission by the limits of its team; empty if it may be stored.
  std::function<std::optional<LimitRefusal>(const workload::JobSubmission&)> limit_refusal;
  /// The instance that owns the workers; empty if it is this one or not known.
  std::function<std::string()> owner;
  /// What the view of the jobs rests on, and why it lacks a job it once had; both for the log.
  std::function<ViewDetails()> view_details;
  std::function<std::optional<JobRemoval>(const std::string& job)> removal_of;
};

}  // namespace clementineloom::entry
