#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "clementineloom/decision/detail/sort_unique.h"
#include "clementineloom/state/cluster_state.h"

namespace clementineloom::detail {

/// @brief Reads the changes of one state since the last call.
///
/// Thread safety: none; private to the decision thread.
class ChangeFollower {
 public:
  /// @brief Reads the changes since the last call. If the state is another one, or the journal has
  /// dropped changes, all jobs and workers count as changed.
  /// @return false if everything counts as changed
  bool Follow(const ClusterState& state);

  /// @brief Jobs whose change the last Follow read; sorted, without duplicates.
  [[nodiscard]] const std::vector<JobId>& jobs() const { return jobs_; }
  [[nodiscard]] const std::vector<WorkerId>& workers() const { return workers_; }
  [[nodiscard]] bool config_changed() const { return config_changed_; }

 private:
  void ReadAll(const ClusterState& state);
  void ReadChanges(const ChangeJournal& journal);

  ChangeJournal::Identity followed_;
  std::uint64_t next_change_ = 0;
  std::vector<JobId> jobs_;
  std::vector<WorkerId> workers_;
  bool config_changed_ = false;
};

}  // namespace clementineloom::detail
