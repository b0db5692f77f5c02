#pragma once

#include <variant>

#include "clementineloom/state/records/config_changed.h"
#include "clementineloom/state/records/job_finished.h"
#include "clementineloom/state/records/job_refused.h"
#include "clementineloom/state/records/job_started.h"
#include "clementineloom/state/records/job_stopped.h"
#include "clementineloom/state/records/job_submitted.h"
#include "clementineloom/state/records/jobs_cancelled.h"
#include "clementineloom/state/records/jobs_placed.h"
#include "clementineloom/state/records/stop_requested.h"
#include "clementineloom/state/records/worker_condition_changed.h"
#include "clementineloom/state/records/worker_registered.h"

namespace clementineloom {

/// @brief The content of a record on the control stream.
using RecordBody = std::variant<WorkerRegistered, WorkerConditionChanged, ConfigChanged,
                                JobSubmitted, JobsCancelled, JobsPlaced, JobStarted, StopRequested,
                                JobStopped, JobFinished, JobRefused>;

}  // namespace clementineloom
