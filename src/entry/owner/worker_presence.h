#pragma once

#include <compare>
#include <optional>

#include "clementineloom/workload/steady_time.h"
#include "net/client_result.h"

namespace clementineloom::entry {

/// @brief What the calls to a worker's address show of whether a process serves it.
///
/// Silence alone shows nothing: a worker that is cut off does not answer either. A refused
/// connection, or one that the worker has closed, shows that its process has ended; attempts to
/// connect that have no answer confirm it from then on, since the host may have gone as well.
/// Thread safety: none; use from one thread.
class WorkerPresence {
 public:
  friend auto operator<=>(const WorkerPresence&, const WorkerPresence&) = default;

  /// @brief Notes the result of a call. @param sent_at when the call was sent
  /// @param now when its result was read
  void OnResult(const net::ClientResult& result, workload::SteadyTime sent_at,
                workload::SteadyTime now) {
    using net::ConnectionFailure;
    if (result.connection_failure == ConnectionFailure::kRefused) {
      ended_at_ = ended_at_.value_or(now);
      absent_at_ = sent_at;
    } else if (result.connection_failure == ConnectionFailure::kClosedByPeer) {
      ended_at_ = now;
      absent_at_.reset();
    } else if (result.connection_failure == ConnectionFailure::kUnreachable && ended_at_) {
      absent_at_ = sent_at;
    } else if (IsAccepted(result) && ended_at_ && sent_at >= *ended_at_) {
      *this = WorkerPresence();
    }
  }

  /// @brief Whether the worker's process has ended, and none has been seen since.
  [[nodiscard]] bool HasEnded() const { return ended_at_.has_value(); }

  /// @brief When the last call was sent that found no process; nothing while one may be there.
  [[nodiscard]] std::optional<workload::SteadyTime> absent_at() const { return absent_at_; }

 private:
  // Whether a process accepted the connection of a call.
  static bool IsAccepted(const net::ClientResult& result) {
    return result.response || result.refusal->run_state != RunState::kDidNotRun;
  }

  // When a call showed the end of the process. Calls sent before went to that process.
  std::optional<workload::SteadyTime> ended_at_;
  std::optional<workload::SteadyTime> absent_at_;
};

}  // namespace clementineloom::entry
