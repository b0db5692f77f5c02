#pragma once

#include <variant>
#include <vector>

#include "clementineloom/errors/refusal.h"
#include "scheduler/operator/cancelled_jobs.h"
#include "scheduler/operator/config_view.h"
#include "scheduler/operator/confirmed_revision.h"
#include "scheduler/operator/explanation.h"
#include "scheduler/operator/freshness_view.h"
#include "scheduler/operator/job_view.h"
#include "scheduler/operator/plan_view.h"
#include "scheduler/operator/status_view.h"
#include "scheduler/operator/submitted_job.h"
#include "scheduler/operator/worker_view.h"

namespace clementineloom::scheduler {

/// @brief Answer to an OperatorRequest.
using OperatorAnswer =
    std::variant<Refusal, ConfigView, ConfirmedRevision, SubmittedJob, CancelledJobs, JobView,
                 std::vector<JobView>, std::vector<WorkerView>, Explanation, StatusView,
                 FreshnessView, PlanView>;

}  // namespace clementineloom::scheduler
