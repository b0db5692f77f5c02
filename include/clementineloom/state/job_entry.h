#pragma once

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/errors/result_code.h"
#include "clementineloom/model/allocation.h"
#include "clementineloom/model/capacity_kind.h"
#include "clementineloom/model/fencing_token.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_outcome.h"
#include "clementineloom/model/job_phase.h"
#include "clementineloom/model/job_spec.h"
#include "clementineloom/model/team_id.h"
#include "clementineloom/model/worker_id.h"
#include "clementineloom/state/stop_reason.h"

namespace clementineloom {

/// @brief A job's row in ClusterState. Used only by the thread that owns the state.
struct JobEntry {
  std::shared_ptr<const JobSpec> spec;
  std::string key;
  TeamId team;
  Instant submitted_at;
  JobPhase phase = JobPhase::kWaiting;
  JobOutcome outcome = JobOutcome::kNone;
  StopReason stop_reason = StopReason::kNone;
  CapacityKind kind = CapacityKind::kBorrowed;
  std::uint16_t guarantee_index = 0;
  std::uint16_t guarantee_instance = 0;
  /// Attempts placed so far.
  std::uint32_t attempt = 0;
  /// Attempts that ended in StopReason::kAttemptFailed.
  std::uint32_t failures = 0;
  /// As reported at the end of the last attempt; 0 until then.
  Duration run_time{0};
  /// Offset of the record that placed the current attempt.
  FencingToken token;
  std::vector<Allocation> allocations;
  /// Workers suspected of failing an attempt of this job, without duplicates.
  std::vector<WorkerId> failed_on;
};

}  // namespace clementineloom
