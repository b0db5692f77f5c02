#pragma once

#include <cstddef>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "clementineloom/workload/interference.h"
#include "clementineloom/workload/progress_sample.h"
#include "clementineloom/workload/speed_change.h"
#include "clementineloom/workload/speed_estimate.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_speeds.h"

namespace clementineloom::workload {

/// @brief The relative speeds of workers, and the kinds of tasks that slow each other on one
/// worker, from the progress of the tasks of the same steps.
///
/// The logarithm of a rate of progress is a sum: the size of the step's tasks, the speed of the
/// worker, what each kind of neighbour takes, and the difference between the tasks. What a sample
/// deviates from it is divided among the terms by how uncertain each is. A worker is slow beside
/// any neighbour, and a neighbour disturbs on any worker, so that samples of both tell them apart.
/// Callers' estimates are not used.
/// Load: a fleet of unlike workers, on which an urgent gang ends late if one member is on a slow
/// one; tasks that take more from their neighbours than the room that they reserve. Thread safety:
/// none.
class SpeedModel {
 public:
  /// @brief Adds a sample. Complexity: O(neighbours * log(workers + steps + pairs)).
  SpeedChange Add(const ProgressSample& sample, SteadyTime now);

  /// @brief Forgets a worker: it is gone, or has restarted and may be of another kind.
  void Forget(std::string_view worker);

  /// @brief The speeds that are known to differ from that of most workers.
  [[nodiscard]] const WorkerSpeeds& speeds() const { return speeds_; }

  /// @brief The pairs of kinds that are known to disturb.
  [[nodiscard]] const Interference& interference() const { return interference_; }

  /// @brief What is known of a worker's speed, and of what a kind leaves of another one's.
  [[nodiscard]] SpeedEstimate EstimateOf(std::string_view worker) const;
  [[nodiscard]] SpeedEstimate EstimateOf(const KindPair& pair) const;

 private:
  // The rate of a step's tasks alone on a worker of speed 1: a mean weighted by certainty.
  struct StepRate {
    double weight = 0;
    double weighted_sum = 0;
    // Weight of the samples beside each kind of neighbour.
    std::map<std::string, double, std::less<>> neighbour_weights;
    std::list<StepId>::iterator position;

    [[nodiscard]] bool HasSamplesWithout(const std::string& neighbour) const;
  };
  // The terms of a sample beside the rate of its step.
  struct Terms {
    SpeedEstimate worker;
    std::vector<KindPair> pairs;
    std::vector<SpeedEstimate> neighbours;

    [[nodiscard]] double LogSpeed() const;
    [[nodiscard]] double Variance() const;
  };

  // Neighbours that nearly all siblings have say nothing: they are a part of the step's rate.
  [[nodiscard]] Terms TermsOf(const ProgressSample& sample, const StepRate& step,
                              SteadyTime now) const;
  // Divides a deviation among the terms and keeps them.
  SpeedChange Update(const ProgressSample& sample, const Terms& terms, double deviation,
                     double variance);
  // The rate of a step, which becomes the one used last.
  StepRate& RateOf(const StepId& step);
  std::optional<double> PublishWorker(const std::string& worker, const SpeedEstimate& estimate);
  // Returns whether the pair counts as disturbing and did not before, or the other way round.
  bool PublishPair(const KindPair& pair, const SpeedEstimate& estimate);

  std::map<std::string, SpeedEstimate, std::less<>> workers_;
  std::map<KindPair, SpeedEstimate> pairs_;
  WorkerSpeeds speeds_;
  Interference interference_;
  std::map<StepId, StepRate> steps_;
  // The steps, the one used last at the end.
  std::list<StepId> used_steps_;
};

}  // namespace clementineloom::workload
