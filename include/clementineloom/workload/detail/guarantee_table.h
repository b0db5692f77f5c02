#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "clementineloom/workload/detail/guarantee_share.h"
#include "clementineloom/workload/detail/start_candidate.h"
#include "clementineloom/workload/plan_request.h"

namespace clementineloom::workload::detail {

/// @brief The shares of all teams that are guaranteed accelerators or that hold some for urgent
/// work. Runs that are being stopped no longer count. Thread safety: none.
class GuaranteeTable {
 public:
  /// Index of a team's share.
  using Team = std::size_t;

  /// @param request has to outlive the table
  explicit GuaranteeTable(const PlanRequest& request);

  /// @brief Counts the tasks of an urgent step as held if its team stays within its guarantee with
  /// them. @return whether it does
  bool Admit(const StartCandidate& step);

  /// @brief The team of a job, or nothing if no team of that name has a share.
  [[nodiscard]] std::optional<Team> TeamOf(const JobEntry& job) const;

  [[nodiscard]] const std::vector<GuaranteeShare>& shares() const { return shares_; }

  /// @brief Accelerators that all teams together hold beyond their guarantees.
  [[nodiscard]] std::int64_t Borrowed() const;

 private:
  void CountRuns(const PlanRequest& request);
  GuaranteeShare& ShareOf(const std::string& team);

  std::vector<GuaranteeShare> shares_;
  std::map<std::string, Team, std::less<>> teams_;
};

}  // namespace clementineloom::workload::detail
