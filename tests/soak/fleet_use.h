#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/worker_info.h"
#include "soak/job_shape.h"
#include "standin/run_event.h"

namespace clementineloom::soak {

/// @brief What runs on the workers by their own events: room, open tasks, running jobs.
/// Thread safety: none.
class FleetUse {
 public:
  /// Precondition: the references outlive this object.
  /// @param shapes of all submitted jobs
  FleetUse(const std::vector<workload::WorkerInfo>& workers,
           const std::map<std::string, JobShape>& shapes);

  void Apply(const standin::RunEvent& event);

  [[nodiscard]] bool IsRunning(const std::string& job) const { return running_.contains(job); }
  /// @brief Tasks of a step that have not ended as done, or 0 if a step before it has such.
  [[nodiscard]] std::size_t OpenTasks(const std::string& job, std::size_t step) const;
  /// @brief Number of tasks of a step that fit beside what runs now.
  [[nodiscard]] std::size_t FitCount(const StepShape& step) const;
  [[nodiscard]] const workload::Resources& used() const { return used_; }
  [[nodiscard]] const workload::Resources& total() const { return total_; }
  /// @brief Whether under half of each resource of all workers is in use.
  [[nodiscard]] bool IsUnderHalf() const;

 private:
  void Add(const standin::RunEvent& event);
  void Remove(const standin::RunEvent& event);
  [[nodiscard]] workload::Resources ResourcesOf(const std::string& task) const;
  [[nodiscard]] std::size_t UndoneTasks(const std::string& job, std::size_t step) const;

  const std::vector<workload::WorkerInfo>& workers_;
  const std::map<std::string, JobShape>& shapes_;
  workload::Resources used_;
  workload::Resources total_;
  // What is free, by worker.
  std::map<std::string, workload::Resources> free_;
  // Worker, task and run of what runs, by job.
  std::map<std::string, std::set<std::string>> running_;
  // Runs that have ended as done, by job, step and task.
  std::map<std::string, std::map<std::size_t, std::map<std::string, std::set<std::uint64_t>>>>
      done_;
};

}  // namespace clementineloom::soak
