#pragma once

#include <algorithm>
#include <cstddef>
#include <optional>
#include <string>

#include "clementineloom/workload/expiring_lease.h"
#include "clementineloom/workload/owner_contact.h"
#include "clementineloom/workload/steady_time.h"
#include "entry/owner/owner_core.h"

namespace clementineloom::entry {

/// @brief When the leases of workers have expired, those that earlier owners may have granted
/// included. Thread safety: none; use from the thread of the port.
template <class Platform, CallPort Port>
class LeaseExpiry {
 public:
  /// @param took_over_at when this owner took over
  LeaseExpiry(OwnerCore<Platform, Port>& core, workload::SteadyTime took_over_at)
      : core_(core), took_over_at_(took_over_at) {}

  /// @brief Notes how many of the workers with known addresses this owner has reached lately.
  void OnContact(std::size_t reached, std::size_t known, workload::SteadyTime now) {
    if (!majority_answered_at_ && known > 0 && 2 * reached > known) {
      majority_answered_at_ = now;
    }
  }

  /// @brief When all leases of a worker have expired. A worker to which this owner has granted none
  /// may hold one of an earlier owner.
  [[nodiscard]] workload::SteadyTime EndOf(const std::string& worker) const {
    if (const auto ended_at = core_.links[worker].lease.LeasesExpiredAt()) {
      return *ended_at;
    }
    const auto adopted_leases_end =
        workload::OwnerContact::EarlierOwnersEndedAt(took_over_at_, majority_answered_at_) +
        core_.options.lease + kAdoptedLeaseMargin;
    const workload::ExpiringLease* recorded = core_.options.lease_ends.Find(worker);
    return recorded == nullptr ? adopted_leases_end
                               : std::min(adopted_leases_end, recorded->ended_at);
  }

 private:
  // Covers orders of the earlier owner that were in flight, and a slow worker clock.
  static constexpr workload::Milliseconds kAdoptedLeaseMargin{700};

  OwnerCore<Platform, Port>& core_;
  const workload::SteadyTime took_over_at_;
  // When this owner had first reached more than half of the workers.
  std::optional<workload::SteadyTime> majority_answered_at_;
};

}  // namespace clementineloom::entry
