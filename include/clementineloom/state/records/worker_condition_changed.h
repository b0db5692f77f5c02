#pragma once

#include <string>

#include "clementineloom/model/worker_condition.h"

namespace clementineloom {

/// @brief The condition of a worker changed: it is leaving, lost, failing or live again.
struct WorkerConditionChanged {
  const std::string worker;
  const WorkerCondition condition = WorkerCondition::kLive;
  const std::string reason;

  friend auto operator<=>(const WorkerConditionChanged&, const WorkerConditionChanged&) = default;
};

}  // namespace clementineloom
