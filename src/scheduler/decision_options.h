#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>

namespace clementineloom::scheduler {

/// @brief Limits of the decision duty.
struct DecisionOptions {
  std::string instance;
  /// Unique for every start of the process; prefix of the ids of its records.
  std::string process;
  std::chrono::milliseconds max_view_age{2'000};
  std::chrono::milliseconds rank_delay{400};
  /// Time between two decisions while the state is unchanged; decisions also depend on the time.
  std::chrono::milliseconds decision_interval{250};
  /// Time after which a decision is made again if its proposal was not read back.
  std::chrono::milliseconds proposal_timeout{2'000};
  std::uint64_t snapshot_interval = 20'000;
  /// Operator requests that wait for their record.
  std::size_t max_pending = 1'024;

  friend auto operator<=>(const DecisionOptions&, const DecisionOptions&) = default;
};

}  // namespace clementineloom::scheduler
