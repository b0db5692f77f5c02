#pragma once

#include <cstdint>
#include <vector>

#include "clementineloom/model/team_id.h"
#include "clementineloom/state/cluster_state.h"
#include "clementineloom/state/job_entry.h"

namespace clementineloom::bench {

/// @brief Accelerator counts of a state: quota and use of each team, and whether it has waiting
/// jobs.
///
/// Thread safety: an immutable value.
class QuotaLedger {
 public:
  explicit QuotaLedger(const ClusterState& state);

  /// @brief Whether the quotas allow a waiting job to start, provided that workers for it are
  /// found.
  ///
  /// A job over its team's quota may borrow accelerators that no other team with waiting jobs has
  /// unused quota for.
  [[nodiscard]] bool Admits(const JobEntry& job) const;

  /// @brief Accelerators in all guarantees of a team.
  [[nodiscard]] std::uint32_t quota(TeamId team) const { return rows_[team.value()].quota; }

  friend auto operator<=>(const QuotaLedger&, const QuotaLedger&) = default;

 private:
  struct Row {
    std::uint32_t quota = 0;
    std::uint32_t use = 0;
    bool is_waiting = false;

    friend auto operator<=>(const Row&, const Row&) = default;
  };

  std::vector<Row> rows_;
  std::uint32_t free_ = 0;
};

}  // namespace clementineloom::bench
