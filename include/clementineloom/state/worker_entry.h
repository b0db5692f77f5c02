#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/model/data_centre_id.h"
#include "clementineloom/model/job_id.h"
#include "clementineloom/model/rack_id.h"
#include "clementineloom/model/worker_condition.h"

namespace clementineloom {

/// @brief A worker's row in ClusterState. Mutable, because only the thread that owns the state
/// uses it.
struct WorkerEntry {
  std::string name;
  std::string address;
  RackId rack;
  DataCentreId data_centre;
  std::uint16_t accelerators = 0;
  std::uint16_t free_accelerators = 0;
  std::uint16_t slots = 0;
  std::uint16_t connections = 0;
  /// Attempts that failed on the worker since it last completed one.
  std::uint16_t consecutive_failures = 0;
  WorkerCondition condition = WorkerCondition::kLive;
  /// Jobs whose attempts hold accelerators of the worker, in order of placement.
  std::vector<JobId> jobs;
};

}  // namespace clementineloom
