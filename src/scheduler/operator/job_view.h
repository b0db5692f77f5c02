#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/model/capacity_kind.h"
#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/job_outcome.h"
#include "clementineloom/model/job_phase.h"
#include "clementineloom/model/job_spec.h"
#include "clementineloom/state/stop_reason.h"

namespace clementineloom::scheduler {

/// @brief A job as operators see it. An immutable value.
struct JobView {
  JobId job;
  std::string key;
  JobSpec spec;
  Instant submitted_at;
  JobPhase phase = JobPhase::kWaiting;
  JobOutcome outcome = JobOutcome::kNone;
  StopReason stop_reason = StopReason::kNone;
  CapacityKind kind = CapacityKind::kBorrowed;
  std::uint32_t attempt = 0;
  std::uint32_t failures = 0;
  /// Names of the workers that the attempt holds.
  std::vector<std::string> workers;

  friend auto operator<=>(const JobView&, const JobView&) = default;
};

}  // namespace clementineloom::scheduler
