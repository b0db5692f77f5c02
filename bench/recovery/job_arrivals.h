#pragma once

#include <cstdint>
#include <memory>
#include <random>
#include <set>
#include <string>

#include "recovery/task_start.h"
#include "standin/standin_cluster.h"

namespace clementineloom::bench {

/// @brief Callers that submit jobs of one task to all instances of a cluster in turn, at a steady
/// rate that the seed sets.
///
/// A caller whom an instance refuses or does not answer repeats its job at the next instance until
/// it is accepted. Thread safety: none. Has to outlive the last run of the cluster's world.
class JobArrivals {
 public:
  /// @param instances of the cluster
  JobArrivals(standin::StandInCluster& cluster, std::size_t instances, std::uint64_t seed);
  JobArrivals(const JobArrivals&) = delete;
  JobArrivals& operator=(const JobArrivals&) = delete;

  /// @brief Begins to submit. Call once.
  void Start() { ScheduleNext(); }

  void OnTaskStart(const TaskStart& start);

  /// @brief Number of accepted jobs that have not started.
  [[nodiscard]] std::size_t waiting() const { return waiting_.size(); }

 private:
  void ScheduleNext();
  void Submit(const std::string& job);
  void OnAccepted(const std::string& job);
  // Whether an instance took the request; an instance that is down refuses the connection.
  bool Send(const std::string& job, const std::shared_ptr<bool>& is_settled);
  void Repeat(const std::string& job, const std::shared_ptr<bool>& is_settled,
              workload::Milliseconds pause);

  standin::StandInCluster& cluster_;
  const std::size_t instances_;
  std::mt19937_64 random_;
  const workload::Milliseconds interval_;
  std::uint64_t submitted_ = 0;
  std::size_t next_instance_ = 0;
  std::set<std::string> started_;
  std::set<std::string> waiting_;
};

}  // namespace clementineloom::bench
