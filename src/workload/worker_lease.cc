#include "clementineloom/workload/worker_lease.h"

#include <algorithm>
#include <cmath>

namespace clementineloom::workload {

void WorkerLease::OnClock(std::int64_t clock_ms, SteadyTime received_at) {
  clock_ms_ = clock_ms;
  read_at_ = received_at;
}

bool WorkerLease::IsBehind(std::int64_t clock_ms) const {
  return clock_ms_ && clock_ms < *clock_ms_;
}

void WorkerLease::BeginLife(Milliseconds longest, SteadyTime now) {
  clock_ms_.reset();
  Extend(now + Slowest(longest) + kKillTime);
}

void WorkerLease::Doubt(Milliseconds longest, SteadyTime now) {
  doubted_at_ = now;
  doubtful_end_ = now + Slowest(longest) + kKillTime;
}

void WorkerLease::ConfirmLife(SteadyTime sent_at) {
  if (sent_at >= doubted_at_) {
    doubtful_end_.reset();
  }
}

std::optional<std::int64_t> WorkerLease::Grant(Milliseconds length, SteadyTime now) {
  if (!clock_ms_) {
    return std::nullopt;
  }
  const Milliseconds span = std::chrono::duration_cast<Milliseconds>(now - read_at_) + length;
  Extend(read_at_ + Slowest(span) + kKillTime);
  return *clock_ms_ + span.count();
}

Milliseconds WorkerLease::Slowest(Milliseconds span) {
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(static_cast<double>(span.count()) / kSlowestClock)));
}

void WorkerLease::Extend(SteadyTime ended_at) {
  surely_ended_at_ = std::max(surely_ended_at_.value_or(ended_at), ended_at);
}

std::optional<SteadyTime> WorkerLease::SurelyEndedAt() const {
  // Nothing compares below any moment.
  return std::max(surely_ended_at_, doubtful_end_);
}

}  // namespace clementineloom::workload
