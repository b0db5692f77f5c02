#pragma once

#include <cstdint>
#include <deque>
#include <map>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/team_id.h"

namespace clementineloom {

/// @brief Counts the retries of each team in a sliding window of one hour. Thread safety: none.
class RetryBudget {
 public:
  static constexpr Duration kWindow = std::chrono::hours(1);

  /// @brief Whether the limit allows the team one more retry.
  [[nodiscard]] bool MayRetry(TeamId team, std::uint32_t limit, Instant now);
  void Count(TeamId team, Instant now) { retries_[team].push_back(now); }

 private:
  /// Oldest first.
  std::map<TeamId, std::deque<Instant>> retries_;
};

}  // namespace clementineloom
