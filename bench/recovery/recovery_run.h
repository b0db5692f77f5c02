#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <vector>

#include "recovery/job_arrivals.h"
#include "recovery/named_trouble.h"
#include "recovery/ownership_watch.h"
#include "recovery/recovery_figures.h"
#include "recovery/task_start.h"
#include "recovery/work_watch.h"
#include "standin/standin_cluster.h"

namespace clementineloom::bench {

/// @brief A cluster under load that meets one trouble. Depends on nothing but the seed.
/// Thread safety: none.
class RecoveryRun {
 public:
  /// @param trouble has to outlive this object
  RecoveryRun(const NamedTrouble& trouble, std::uint64_t seed);
  RecoveryRun(const RecoveryRun&) = delete;
  RecoveryRun& operator=(const RecoveryRun&) = delete;

  /// @brief Runs until the cluster has recovered, or a time limit after the trouble has passed.
  /// Call once.
  [[nodiscard]] RecoveryFigures Run();

 private:
  // Runs the cluster under load until its number of running tasks is steady.
  void WarmUp();
  // Lets a millisecond pass.
  void Step();
  // Carries out the steps of the trouble that are due.
  void Act();
  void Observe(OwnershipWatch& ownership, WorkWatch& work);
  void OnStart(const TaskStart& start, const OwnershipWatch& ownership);
  [[nodiscard]] bool IsOver() const;
  [[nodiscard]] std::int64_t now_ms() const { return cluster_.world.ElapsedMs(); }

  const NamedTrouble& trouble_;
  std::mt19937_64 random_;
  standin::StandInCluster cluster_;
  JobArrivals arrivals_;
  RecoveryFigures figures_;
  std::vector<TaskStart> starts_;
  std::vector<TimedStep> steps_;
  std::size_t next_step_ = 0;
  // Times of the world.
  std::int64_t began_at_ms_ = 0;
  std::int64_t ended_at_ms_ = 0;
  std::int64_t origin_ms_ = 0;
  std::int64_t last_start_ms_ = 0;
  // Beginning of the present time in which all is at work.
  std::optional<std::int64_t> at_work_since_ms_;
  std::size_t most_waiting_before_ = 0;
};

}  // namespace clementineloom::bench
