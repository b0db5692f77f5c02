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

/// @brief Paces the runs that fill idle processors, so that service tasks beside them stay within
/// their targets.
///
/// All runs that fill on one worker share a pace. It falls fast when a tail nears or exceeds its
/// target, to a stop if need be, and rises in steps while all tails are well below: large ones up
/// to the pace that was last too much, small ones from there. The pace that was too much for an
/// image is where runs of that image begin on other workers with service tasks.
/// Thread safety: none; use from one thread.
class FillPacer {
 public:
  /// @brief Takes a worker's report.
  /// @return the paces to order; also those that were ordered and are not confirmed
  [[nodiscard]] std::vector<PaceChange> OnReport(const std::string& worker,
                                                 const std::vector<ServiceLoad>& services,
                                                 const std::vector<FillRun>& fills, SteadyTime now);

  /// @brief Forgets a worker.
  void Drop(const std::string& worker) { paces_.erase(worker); }

 private:
  struct Pace {
    std::uint32_t percent = 100;
    // Lowest pace that was too much, as far as it is still believed.
    std::uint32_t too_much_percent = 100;
    SteadyTime changed_at;
  };

  [[nodiscard]] Pace FirstPace(const std::vector<FillRun>& fills, SteadyTime now) const;
  void Lower(Pace& pace, bool is_over_target, const std::vector<FillRun>& fills);
  static void Raise(Pace& pace);

  std::map<std::string, Pace> paces_;
  // Pace at which runs of an image begin beside service tasks.
  std::map<std::string, std::uint32_t> first_percent_;
};

}  // namespace clementineloom::workload
