#pragma once

#include <compare>
#include <cstdint>
#include <string_view>
#include <vector>

#include "clementineloom/workload/queue.h"
#include "clementineloom/workload/team_access.h"

namespace clementineloom::workload {

/// @brief A version of the operator's configuration, whole. An immutable value.
struct WorkloadConfig {
  std::uint64_t version = 0;
  std::vector<Queue> queues;
  std::vector<TeamAccess> teams;

  friend auto operator<=>(const WorkloadConfig&, const WorkloadConfig&) = default;

  /// @brief The queue of a host with the longest prefix of a path, or null.
  [[nodiscard]] const Queue* Route(std::string_view host, std::string_view path) const;
  /// @brief The queue of a name, or null.
  [[nodiscard]] const Queue* FindQueue(std::string_view name) const;
  /// @brief The team that holds a key, or null.
  [[nodiscard]] const TeamAccess* TeamOfKey(std::string_view key) const;
  /// @brief The team of a name, or null.
  [[nodiscard]] const TeamAccess* FindTeam(std::string_view name) const;
};

}  // namespace clementineloom::workload
