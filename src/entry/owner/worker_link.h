#pragma once

#include <cstdint>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/worker_lease.h"

namespace clementineloom::entry {

/// @brief The owner's dialogue with a worker. Thread safety: none; use from one thread.
struct WorkerLink {
  workload::WorkerLease lease;
  /// A call for the lists is on its way or about to be sent.
  bool is_polling = false;
  /// A call is due that renews the leases while ends are being recorded.
  bool is_renewal_due = false;
  /// Appends of this worker's ends, of any life, whose outcome is not known.
  std::uint32_t open_records = 0;
  /// Ends up to this number were taken over.
  std::uint64_t taken_end = 0;
  /// Ends up to this number are recorded.
  std::uint64_t acknowledged_end = 0;
  /// The number up to which a worker has answered to an acknowledgement.
  std::uint64_t sent_acknowledgement = 0;
  /// When the worker last answered a call for its lists.
  workload::SteadyTime answered_at;
  /// Calls in a row without an answer.
  std::uint32_t failures = 0;
  /// Life of the worker that the lists belong to.
  std::int64_t started_at_ms = 0;
  /// Lives of the worker that began under this owner, and when it learnt of the last one.
  std::uint32_t rebirths = 0;
  workload::SteadyTime life_began_at;

  /// @brief Whether ends of this life were taken over and are not recorded yet. The worker lists
  /// them again in each answer, at once.
  [[nodiscard]] bool HasUnrecordedEnds() const { return taken_end > acknowledged_end; }
};

}  // namespace clementineloom::entry
