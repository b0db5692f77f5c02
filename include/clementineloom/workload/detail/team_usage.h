#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>

#include "clementineloom/workload/resources.h"

namespace clementineloom::workload::detail {

/// @brief What the runs of a team hold, with its quota and its weight. An immutable value.
struct TeamUsage {
  /// 0 of a resource for no limit.
  Resources quota;
  double weight = 1;
  /// What all its runs hold, and the part that those hold which are being stopped.
  Resources held;
  Resources stopping;
  /// Accelerators that its urgent runs hold, without those that are being stopped.
  std::int64_t urgent_accelerators = 0;
  /// Accelerators of the quota that are kept for its urgent work.
  std::int64_t reserved_accelerators = 0;

  friend auto operator<=>(const TeamUsage&, const TeamUsage&) = default;

  /// @brief How many urgent tasks, at most `tasks`, the quota admits beside what the team holds. A
  /// task is not limited by a resource that it does not need.
  [[nodiscard]] std::int64_t AdmittedUrgentTasks(const Resources& per_task,
                                                 std::int64_t tasks) const {
    return TasksWithin(per_task, tasks, held);
  }

  /// @brief The same for other tasks, which leave free what is reserved.
  [[nodiscard]] std::int64_t AdmittedTasks(const Resources& per_task, std::int64_t tasks) const {
    return TasksWithin(per_task, tasks, held + Resources{0, 0, reserved_accelerators});
  }

  /// @brief What has to end, beside the runs that are being stopped, before the quota admits tasks.
  [[nodiscard]] Resources MissingFor(const Resources& needed) const {
    const auto missing = [&](std::int64_t Resources::*resource) {
      const std::int64_t more = held.*resource - stopping.*resource + needed.*resource;
      const bool is_limited = quota.*resource > 0 && needed.*resource > 0;
      return is_limited ? std::max<std::int64_t>(more - quota.*resource, 0) : 0;
    };
    return {missing(&Resources::cpu_millicores), missing(&Resources::memory_mb),
            missing(&Resources::accelerators)};
  }

  /// @brief How many tasks, at most `tasks`, the quota admits once the team holds nothing else.
  [[nodiscard]] std::int64_t MostTasks(const Resources& per_task, std::int64_t tasks) const {
    return TasksWithin(per_task, tasks, {});
  }

  /// @brief The same, with what is reserved left free.
  [[nodiscard]] std::int64_t MostTasksBesideReserve(const Resources& per_task,
                                                    std::int64_t tasks) const {
    return TasksWithin(per_task, tasks, {0, 0, reserved_accelerators});
  }

  /// @brief Whether the team holds more of a resource than its quota.
  [[nodiscard]] bool IsOverQuota() const {
    const auto is_over = [this](std::int64_t Resources::*resource) {
      return quota.*resource > 0 && held.*resource > quota.*resource;
    };
    return is_over(&Resources::cpu_millicores) || is_over(&Resources::memory_mb) ||
           is_over(&Resources::accelerators);
  }

  /// @brief The greatest share of a resource of the fleet that the team holds, divided by its
  /// weight.
  [[nodiscard]] double WeightedShare(const Resources& fleet) const {
    return std::max({ShareOf(held.cpu_millicores, fleet.cpu_millicores),
                     ShareOf(held.memory_mb, fleet.memory_mb),
                     ShareOf(held.accelerators, fleet.accelerators)}) /
           weight;
  }

 private:
  [[nodiscard]] std::int64_t TasksWithin(const Resources& per_task, std::int64_t tasks,
                                         const Resources& besides) const {
    const auto limit = [&](std::int64_t Resources::*resource) {
      if (quota.*resource > 0 && per_task.*resource > 0) {
        tasks = std::min(tasks, (quota.*resource - besides.*resource) / per_task.*resource);
      }
    };
    limit(&Resources::cpu_millicores);
    limit(&Resources::memory_mb);
    limit(&Resources::accelerators);
    return std::max<std::int64_t>(tasks, 0);
  }

  static double ShareOf(std::int64_t part, std::int64_t whole) {
    return whole > 0 ? static_cast<double>(part) / static_cast<double>(whole) : 0;
  }
};

}  // namespace clementineloom::workload::detail
