#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "clementineloom/workload/fill_run.h"
#include "clementineloom/workload/pace_change.h"
#include "clementineloom/workload/service_load.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::workload {

/// @brief Throttles the runs that use idle processors (fill runs), so that service tasks on the
/// same worker meet their latency targets.
///
/// All fill runs of a worker share one pace. It falls fast when a tail latency nears or exceeds its
/// target, down to a pause, and rises in steps while all tail latencies are well below their
/// targets: in large steps up to the last pace that was too high, in small ones from there. Runs of
/// an image that was throttled begin at the lowered pace on other workers with service tasks.
/// Thread safety: none; use from one thread.
class FillPacer {
 public:
  /// @brief Takes a worker's report.
  /// @return the paces to order, including those that were ordered before and are not confirmed yet
  [[nodiscard]] std::vector<PaceChange> OnReport(const std::string& worker,
                                                 const std::vector<ServiceLoad>& services,
                                                 const std::vector<FillRun>& fills, SteadyTime now);

  /// @brief Removes a worker.
  void Drop(const std::string& worker) { paces_.erase(worker); }

 private:
  struct Pace {
    std::uint32_t percent = 100;
    // Last pace that was too high; raised again once a higher pace has proved acceptable.
    std::uint32_t too_high_percent = 100;
    SteadyTime changed_at;
  };

  [[nodiscard]] Pace InitialPace(const std::vector<FillRun>& fills, SteadyTime now) const;
  void Lower(Pace& pace, bool is_over_target, const std::vector<FillRun>& fills);
  static void Raise(Pace& pace);

  std::map<std::string, Pace> paces_;
  // Pace at which runs of an image begin beside service tasks.
  std::map<std::string, std::uint32_t> initial_percent_;
};

}  // namespace clementineloom::workload
