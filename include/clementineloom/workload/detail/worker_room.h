#pragma once

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/rack_room.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/detail/victim.h"
#include "clementineloom/workload/pool_worker.h"
#include "clementineloom/workload/resources.h"
#include "clementineloom/workload/step_id.h"
#include "clementineloom/workload/step_spec.h"

namespace clementineloom::workload::detail {

/// @brief Free and reclaimable resources of a worker while a plan is being made.
struct WorkerRoom {
  const PoolWorker* worker = nullptr;
  /// The rack that it is counted in.
  RackRoom* rack = nullptr;
  /// Room that can be taken now. Negative where waiting tasks have a claim on more than is free.
  Resources free;
  /// Room once the runs that are being stopped have ended, less all claims on it.
  Resources free_later;
  /// Tasks of steps that this plan has placed here, beside those in worker->runs.
  std::map<StepId, std::uint32_t> planned;
  /// Runs that may be stopped, the cheapest first, and the room of the less urgent ones; empty
  /// until they are listed.
  std::vector<Victim> victims;
  Resources stoppable;
  /// Room of the urgent ones among them.
  Resources reclaimable;
  /// Whether service tasks, or tasks that fill idle processors, run or are planned here.
  bool has_service_tasks = false;
  bool has_fill_tasks = false;
  /// Accelerators that urgent and other runs hold, without those that are being stopped.
  std::int64_t urgent_accelerators = 0;
  std::int64_t less_urgent_accelerators = 0;
  /// Kinds of the runs here, with those that are planned; empty where no kinds disturb each other.
  std::set<std::string> kinds;
  /// Of the worker, 1 for one like most others.
  double speed = 1;
  /// Whether the room is kept for urgent work.
  bool is_reserved = false;

  [[nodiscard]] std::uint32_t CountOf(const StepId& step) const {
    const auto it = planned.find(step);
    return worker->CountOf(step) + (it == planned.end() ? 0 : it->second);
  }

  /// @brief The most room that there is for a step once all that may be stopped for it has ended.
  [[nodiscard]] Resources FreeableFor(const StartCandidate& step) const {
    const Resources without_urgent = free_later + stoppable;
    return step.may_reclaim ? without_urgent + reclaimable : without_urgent;
  }

  /// @brief Adds a run that may be stopped.
  void AddVictim(const Victim& victim) {
    Resources& room = victim.team ? reclaimable : stoppable;
    room = room + victim.run->reserved;
    victims.push_back(victim);
  }

  /// @brief Takes room for a task that starts now, or that starts here once there is room.
  void Take(const StepId& step, const StepSpec& spec) {
    free = free - spec.Reserved();
    free_later = free_later - spec.Reserved();
    ++planned[step];
    has_service_tasks = has_service_tasks || spec.tail_target_ms > 0;
    has_fill_tasks = has_fill_tasks || spec.fills_idle_cpu;
  }

  /// @brief Keeps room for a task from all others, or gives it back with a negative amount.
  void Hold(const Resources& amount) {
    free = free - amount;
    free_later = free_later - amount;
  }

  /// @brief Counts the room of a run that this plan stops as free later. @return whether it was a
  /// victim.
  bool Stop(const PlacedRun& run) {
    const auto it = std::find_if(victims.begin(), victims.end(),
                                 [&](const Victim& victim) { return victim.run == &run; });
    if (it == victims.end()) {
      return false;
    }
    free_later = free_later + it->run->reserved;
    Resources& room = it->team ? reclaimable : stoppable;
    room = room - it->run->reserved;
    victims.erase(it);
    return true;
  }
};

}  // namespace clementineloom::workload::detail
