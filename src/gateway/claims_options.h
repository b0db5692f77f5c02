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
  /// Unique to this process, so that claims of an earlier process of the instance are told apart.
  std::string process = "1";
  /// Time that the first record of a batch waits for others.
  std::chrono::milliseconds batch_time{2};
  /// Time between two appends. The log takes several hundred a second from all instances; with 9
  /// gateways this is at most 360.
  std::chrono::milliseconds append_interval{25};
  /// Time in which a claim has to be read back.
  std::chrono::milliseconds claim_timeout{3'000};
  /// Time after which a claim of another gateway without an outcome is taken for lost.
  std::chrono::milliseconds run_limit{35'000};
  /// Records that wait for an append, and claims that wait to be read back.
  std::size_t backlog = 1024;
  /// Repetitions that wait for the first answer of a key at the same gateway.
  std::size_t followers_of_claim = 16;

  friend auto operator<=>(const ClaimsOptions&, const ClaimsOptions&) = default;
};

}  // namespace clementineloom::gateway
