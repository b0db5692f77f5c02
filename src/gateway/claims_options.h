#pragma once

#include <chrono>
#include <compare>
#include <cstddef>
#include <string>

namespace clementineloom::gateway {

/// @brief Limits of the claims duty.
struct ClaimsOptions {
  /// Name of this gateway in its claims.
  std::string instance = "gateway";
  /// Unique to this process, to distinguish its claims from those of an earlier process of the
  /// instance.
  std::string process = "1";
  /// How long the first record of a batch waits for more records.
  std::chrono::milliseconds batch_time{2};
  /// Minimum time between two appends. The log accepts several hundred appends per second from all
  /// instances together; 9 gateways send at most 360.
  std::chrono::milliseconds append_interval{25};
  /// A request whose claim is not read back within this time is refused.
  std::chrono::milliseconds claim_timeout{3'000};
  /// Time after which a claim of another gateway that still has no outcome is considered lost; a
  /// duplicate is then told that the outcome is unknown.
  std::chrono::milliseconds run_limit{35'000};
  /// Limit of records waiting to be appended, of claims waiting to be read back, and of ended
  /// claims whose outcome has not been read back.
  std::size_t backlog = 1024;
  /// Limit of duplicates that wait at this gateway for the first response of their key.
  std::size_t max_duplicates_per_claim = 16;

  friend auto operator<=>(const ClaimsOptions&, const ClaimsOptions&) = default;
};

}  // namespace clementineloom::gateway
