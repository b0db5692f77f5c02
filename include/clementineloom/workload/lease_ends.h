#pragma once

#include <compare>
#include <functional>
#include <map>
#include <string>
#include <string_view>

#include "clementineloom/workload/expiring_lease.h"
#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/workload_record.h"

namespace clementineloom::workload {

/// @brief The leases that no owner extends, by worker.
///
/// An owner records that it extends a worker's lease no more, and extends it again only once the
/// withdrawal of that record is stored. A successor that reads the record therefore knows that the
/// leases end in time, whatever its predecessors do without the store.
/// Thread safety: none; use from one thread.
class LeaseEnds {
 public:
  using Leases = std::map<std::string, ExpiringLease, std::less<>>;

  /// @brief Applies a record. @param read_at when it was read, or a later time
  void Apply(const LeaseEndSet& record, SteadyTime read_at) {
    if (record.end) {
      leases_.insert_or_assign(record.worker,
                               ExpiringLease{read_at + record.end->remaining, record.end->address});
    } else {
      leases_.erase(record.worker);
    }
  }

  /// @brief Removes all, before a reload.
  void Clear() { leases_.clear(); }

  /// @brief Whether the lease of a worker may not be extended.
  [[nodiscard]] bool Contains(std::string_view worker) const { return leases_.contains(worker); }

  /// @brief The lease of a worker, or null if it may be extended.
  [[nodiscard]] const ExpiringLease* Find(std::string_view worker) const {
    const auto it = leases_.find(worker);
    return it == leases_.end() ? nullptr : &it->second;
  }

  [[nodiscard]] const Leases& leases() const { return leases_; }

  friend auto operator<=>(const LeaseEnds&, const LeaseEnds&) = default;

 private:
  Leases leases_;
};

}  // namespace clementineloom::workload
