#include "clementineloom/workload/worker_lease.h"

#include <algorithm>
#include <cmath>

namespace clementineloom::workload {

void WorkerLease::OnClock(std::int64_t clock_ms, SteadyTime received_at) {
  clock_ms_ = clock_ms;
  read_at_ = received_at;
}

void WorkerLease::Reset() { *this = WorkerLease(); }

std::optional<std::int64_t> WorkerLease::Grant(Milliseconds length, SteadyTime now) {
  if (!clock_ms_) {
    return std::nullopt;
  }
  const auto since_reading = std::chrono::duration_cast<Milliseconds>(now - read_at_);
  const Milliseconds span = since_reading + length;
  const Milliseconds slowest(
      static_cast<std::int64_t>(std::ceil(static_cast<double>(span.count()) / kSlowestClock)));
  const SteadyTime ended_at = read_at_ + slowest + kKillTime;
  surely_ended_at_ = std::max(surely_ended_at_.value_or(ended_at), ended_at);
  return *clock_ms_ + span.count();
}

std::optional<SteadyTime> WorkerLease::SurelyEndedAt() const { return surely_ended_at_; }

}  // namespace clementineloom::workload
