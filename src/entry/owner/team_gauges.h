#pragma once

#include <cstddef>
#include <string_view>

#include "clementineloom/workload/team_quota.h"
#include "entry/metric_specs.h"
#include "entry/owner/owner_core.h"

namespace clementineloom::entry {

/// @brief Publishes what the teams hold, against their limits, where teams have limits.
/// Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class TeamGauges {
 public:
  /// Precondition: the core outlives the gauges.
  explicit TeamGauges(OwnerCore<Platform, Port>& core) : core_(core) {}

  /// @brief Updates the gauges if the last update is old enough. To be called at short intervals.
  void Update(workload::SteadyTime now) {
    const auto& config = core_.operators.config();
    if (!config || now - updated_at_ < kInterval) {
      return;
    }
    updated_at_ = now;
    std::size_t teams = 0;
    for (const workload::TeamUse& it :
         workload::UseOfTeams(core_.jobs, core_.workers, config->teams)) {
      if (++teams > kMaxTeams) {
        return;
      }
      Publish(it);
    }
  }

 private:
  // The count goes over all runs and jobs.
  static constexpr workload::Milliseconds kInterval{2'000};
  // Bounds the page of an instance with many teams.
  static constexpr std::size_t kMaxTeams = 512;

  void Publish(const workload::TeamUse& team) {
    Set(kTeamWeight, team, team.weight);
    Set(kTeamAccelerators, team, static_cast<double>(team.held.accelerators));
    Set(kTeamQuotaAccelerators, team, static_cast<double>(team.quota.accelerators));
    Set(kTeamCores, team, static_cast<double>(team.held.cpu_millicores) / kMillicoresPerCore);
    Set(kTeamQuotaCores, team, static_cast<double>(team.quota.cpu_millicores) / kMillicoresPerCore);
    Set(kTeamMemory, team, static_cast<double>(team.held.memory_mb));
    Set(kTeamQuotaMemory, team, static_cast<double>(team.quota.memory_mb));
    Set(kTeamWaitingJobs, team, static_cast<double>(team.waiting_jobs));
  }

  void Set(const MetricSpec& metric, const workload::TeamUse& team, double number) {
    core_.metrics.Set(metric.name, number, metric.label, team.name);
  }

  static constexpr double kMillicoresPerCore = 1'000;

  OwnerCore<Platform, Port>& core_;
  workload::SteadyTime updated_at_;
};

}  // namespace clementineloom::entry
