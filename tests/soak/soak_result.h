#pragma once

#include <cstddef>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/worker_info.h"
#include "soak/calm_window.h"
#include "soak/disturbances.h"
#include "soak/job_reading.h"
#include "soak/job_times.h"
#include "soak/request_log.h"
#include "soak/violation.h"
#include "standin/run_event.h"

namespace clementineloom::soak {

/// @brief All that a soak has seen. Precondition: what it refers to outlives it.
struct SoakResult {
  const RequestLog& requests;
  const Disturbances& disturbances;
  const std::vector<workload::WorkerInfo>& workers;
  std::vector<standin::RunEvent> runs;
  /// What the instances said of the accepted jobs after the calm.
  std::vector<JobReading> final_readings;
  /// When no job may stand still beside room.
  CalmWindow calm;
};

/// @brief The accepted jobs.
[[nodiscard]] std::map<std::string, JobTimes> AcceptedJobs(const RequestLog& requests);

/// @brief All violations of a soak, from the checks of answers, jobs and runs.
[[nodiscard]] std::vector<Violation> CheckAll(const SoakResult& result);

/// @brief Counts of requests and jobs in one line.
[[nodiscard]] std::string Summarize(const SoakResult& result);

}  // namespace clementineloom::soak
