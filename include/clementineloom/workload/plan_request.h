#pragma once

#include <cstdint>
#include <set>
#include <span>
#include <string>
#include <vector>

#include "clementineloom/workload/accelerators_by_service.h"
#include "clementineloom/workload/advice_cache.h"
#include "clementineloom/workload/interference.h"
#include "clementineloom/workload/job_table.h"
#include "clementineloom/workload/room_claim.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/team_access.h"
#include "clementineloom/workload/worker_pool.h"
#include "clementineloom/workload/worker_speeds.h"

namespace clementineloom::workload {

/// @brief What the planner decides from. The parts have to outlive the call.
struct PlanRequest {
  const JobTable& jobs;
  const WorkerPool& workers;
  /// Data centres out of service.
  const std::set<std::string>& evacuated;
  const AdviceCache& advice;
  /// Claims of the last plan: the runs that it stopped end for these tasks.
  const std::vector<RoomClaim>& claims;
  SteadyTime now;
  std::int64_t unix_now_ms = 0;
  /// All teams, with what each is guaranteed for its urgent jobs, its quota and its weight.
  std::span<const TeamAccess> teams = {};
  /// Accelerators to keep free of less urgent work, by service, for urgent work that is about to
  /// arrive.
  AcceleratorsByService urgent_reserve = {};
  /// Steps of jobs that have had nothing at work for long, in their order. Beside free room they no
  /// longer wait for better room.
  std::span<const StepId> overdue_steps = {};
  /// Speeds of the workers that differ from most others; null where none is known.
  const WorkerSpeeds* speeds = nullptr;
  /// The kinds of tasks that are known to slow each other; null where none are.
  const Interference* interference = nullptr;
  /// Accelerators that the urgent work of teams with quotas is expected to need, by team.
  AcceleratorsByService team_urgent_forecast = {};
  /// Jobs that their teams submitted beyond their rates, in the order of their ids.
  std::span<const std::string> jobs_beyond_rate = {};
};

}  // namespace clementineloom::workload
