#pragma once

#include <cstdint>
#include <unordered_map>
#include <utility>

#include "clementineloom/model/instant.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom {

/// @brief The time at which each attempt in progress was first observed. Thread safety: none.
class StartTimes {
 public:
  void Observe(const ClusterState& state, JobId job, Instant now);
  /// @brief Time since the job's attempt was first observed; zero if it was not.
  [[nodiscard]] Duration Elapsed(JobId job, Instant now) const;
  void Clear() { started_.clear(); }

 private:
  /// By job: attempt and the time at which it was first observed.
  std::unordered_map<JobId, std::pair<std::uint32_t, Instant>> started_;
};

}  // namespace clementineloom
