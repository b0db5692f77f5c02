#pragma once

#include <chrono>
#include <compare>
#include <string>

#include "clementineloom/model/instant.h"

namespace clementineloom::scheduler {

/// @brief Limits of the task driver.
struct DriverOptions {
  std::string instance;
  /// Unique for every start of the process; prefix of the ids of its records.
  std::string process;
  std::chrono::milliseconds max_view_age{2'000};
  std::chrono::milliseconds max_renew_view_age{900'000};
  std::chrono::milliseconds rank_delay{400};
  Duration lease{10'000};
  std::chrono::milliseconds renew_interval{3'000};
  /// Lifetime of a reservation; bounds how late a start takes effect after its view was fresh.
  Duration reserve_ttl{1'500};
  /// Time for all workers of a gang to be reserved and started.
  std::chrono::milliseconds start_deadline{5'000};
  /// Pause before a command that failed is sent again.
  std::chrono::milliseconds retry_pause{200};
  /// Time after which a proposal whose effect was not read back is made again.
  std::chrono::milliseconds proposal_timeout{2'000};

  friend auto operator<=>(const DriverOptions&, const DriverOptions&) = default;
};

}  // namespace clementineloom::scheduler
