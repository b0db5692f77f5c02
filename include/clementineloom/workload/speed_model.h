#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "clementineloom/workload/progress_sample.h"
#include "clementineloom/workload/speed_estimate.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_speeds.h"

namespace clementineloom::workload {

/// @brief The relative speeds of workers, from the progress of the tasks of the same steps.
///
/// The logarithm of a rate of progress is the sum of the speed of the worker, the size of the
/// step's tasks and the difference between the tasks. Callers' estimates are not used. Load: a
/// fleet of unlike workers, on which an urgent gang ends late if one member is on a slow one.
/// Thread safety: none.
class SpeedModel {
 public:
  /// @brief Adds a sample. Complexity: O(log(workers + steps)).
  /// @return the speed of the worker if it counts as another one than before, else nothing
  std::optional<double> Add(const ProgressSample& sample, SteadyTime now);

  /// @brief Forgets a worker: it is gone, or has restarted and may be of another kind.
  void Forget(std::string_view worker);

  /// @brief The speeds that are known to differ from that of most workers.
  [[nodiscard]] const WorkerSpeeds& speeds() const { return speeds_; }

  /// @brief What is known of a worker's speed.
  [[nodiscard]] SpeedEstimate EstimateOf(std::string_view worker) const;

 private:
  // The rate of a step's tasks on a worker of speed 1: a mean weighted by certainty.
  struct StepRate {
    double weight = 0;
    double weighted_sum = 0;
    std::list<StepId>::iterator position;
  };

  // The rate of a step, which becomes the one used last.
  StepRate& RateOf(const StepId& step);
  std::optional<double> Publish(const std::string& worker, const SpeedEstimate& estimate);

  std::map<std::string, SpeedEstimate, std::less<>> workers_;
  WorkerSpeeds speeds_;
  std::map<StepId, StepRate> steps_;
  // The steps, the one used last at the end.
  std::list<StepId> used_steps_;
};

}  // namespace clementineloom::workload
