#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "clementineloom/workload/steady_time.h"
#include "clementineloom/workload/task_run.h"
#include "clementineloom/workload/worker_lease.h"
#include "entry/owner/order_silence.h"
#include "entry/owner/worker_presence.h"

namespace clementineloom::entry {

/// @brief The owner's communication state with a worker. Thread safety: none; use from one thread.
struct WorkerLink {
  workload::WorkerLease lease;
  /// Whether a poll is in flight or about to be sent.
  bool is_polling = false;
  /// Whether a renewal is scheduled because ends are still being recorded.
  bool is_renewal_due = false;
  /// Number of appends of this worker's ends, of any incarnation, whose outcome is not known.
  std::uint32_t pending_end_appends = 0;
  /// Ends up to this number have been applied.
  std::uint64_t processed_end = 0;
  /// Ends up to this number are recorded, so that they may be acknowledged.
  std::uint64_t acknowledged_end = 0;
  /// Highest acknowledged number that the worker has answered.
  std::uint64_t confirmed_acknowledgement = 0;
  /// When the owner last read an answer to a poll.
  workload::SteadyTime answered_at;
  /// When the poll was sent that was answered last. The answer may have waited while the owner was
  /// suspended, so that only this bounds its age.
  workload::SteadyTime last_answered_sent_at;
  /// Start and stop orders without an answer while polls are answered.
  OrderSilence order_silence;
  /// When the first of the runs that its last lists lack need no longer be held; absent if none is
  /// held.
  std::optional<workload::SteadyTime> hold_ends_at;
  /// Runs of which an order to start had no answer, by the time at which the last one timed out.
  std::map<workload::TaskRun, workload::SteadyTime> unanswered_starts;
  /// Consecutive polls without an answer, and when the last one failed.
  std::uint32_t failures = 0;
  workload::SteadyTime last_failure_at;
  WorkerPresence presence;
  /// Start time of the incarnation of the worker that the lists belong to; 0 while not known.
  std::int64_t started_at_ms = 0;
  /// Restarts of the worker that this owner has noticed, and when it noticed the last one.
  std::uint32_t restarts = 0;
  workload::SteadyTime incarnation_began_at;

  /// @brief Whether ends of this incarnation have been applied but not recorded yet. The worker
  /// lists them again in each answer, without waiting.
  [[nodiscard]] bool HasUnrecordedEnds() const { return processed_end > acknowledged_end; }
};

}  // namespace clementineloom::entry
