#pragma once

#include <cstdint>
#include <optional>

#include "clementineloom/model/job_id.h"
#include "clementineloom/model/worker_id.h"
#include "clementineloom/state/stop_reason.h"

namespace clementineloom {

/// @brief An attempt has to checkpoint and stop; a replica that has read this record no longer
/// renews its leases.
struct StopRequested {
  const JobId job;
  const std::uint32_t attempt = 1;
  const StopReason reason = StopReason::kReclaim;
  /// The worker that probably caused the failure, for kAttemptFailed and kStartDeadline.
  const std::optional<WorkerId> suspect;

  friend auto operator<=>(const StopRequested&, const StopRequested&) = default;
};

}  // namespace clementineloom
