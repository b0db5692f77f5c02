#pragma once

#include "clementineloom/decision/queue_rank.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/team_id.h"

namespace clementineloom {

/// @brief A waiting job with its rank and team. An immutable value.
struct QueuedJob {
  QueueRank rank = QueueRank::kBorrowing;
  JobId job;
  TeamId team;

  friend auto operator<=>(const QueuedJob&, const QueuedJob&) = default;
};

}  // namespace clementineloom
