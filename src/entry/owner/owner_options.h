#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

#include "clementineloom/workload/lease_ends.h"
#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Identity and limits of an owner.
struct OwnerOptions {
  std::string instance;
  std::uint64_t epoch = 0;
  /// Duration of the leases that are granted.
  workload::Milliseconds lease{5'500};
  /// Longest lease that workers grant; they shorten longer ones.
  workload::Milliseconds max_lease{6'000};
  /// Longest time that a worker takes to stop a run.
  workload::Milliseconds stop_timeout{1'000};
  /// Longest time for which the members of a gang wait for each other.
  workload::Milliseconds gang_timeout{3'000};
  /// Retention of ended jobs.
  workload::Milliseconds retention{120'000};
  /// Address of the advice service; empty where there is none.
  std::string advice_address;
  /// When this instance last handed over because it reached no worker; absent if it has not.
  std::optional<workload::SteadyTime> handed_over_at;
  /// Ends of leases that earlier owners have recorded.
  workload::LeaseEnds lease_ends;

  friend auto operator<=>(const OwnerOptions&, const OwnerOptions&) = default;
};

}  // namespace clementineloom::entry
