#include "clementineloom/workload/worker_lease.h"

#include <algorithm>
#include <cmath>

namespace clementineloom::workload {

Milliseconds WorkerLease::LongestDuration(Milliseconds max_lease) {
  return MaxElapsed(max_lease) + kKillMargin;
}

void WorkerLease::OnClock(std::int64_t clock_ms, SteadyTime received_at) {
  clock_ms_ = clock_ms;
  read_at_ = received_at;
}

bool WorkerLease::IsBehind(std::int64_t clock_ms, SteadyTime sent_at) const {
  if (!clock_ms_) {
    return false;
  }
  const auto since_read = std::chrono::duration_cast<Milliseconds>(sent_at - read_at_);
  return clock_ms < *clock_ms_ + MinElapsed(std::max(since_read, Milliseconds(0))).count();
}

void WorkerLease::BeginIncarnation(Milliseconds max_lease, SteadyTime now) {
  clock_ms_.reset();
  Extend(now + LongestDuration(max_lease));
}

void WorkerLease::NoteStartOfEarlierClock(Milliseconds max_lease, SteadyTime now) {
  Extend(now + LongestDuration(max_lease));
}

void WorkerLease::NoteUnansweredStart(Milliseconds max_lease, SteadyTime now) {
  unanswered_start_at_ = now;
  unanswered_lease_end_ = now + LongestDuration(max_lease);
}

void WorkerLease::ConfirmIncarnation(SteadyTime sent_at) {
  if (sent_at >= unanswered_start_at_) {
    unanswered_lease_end_.reset();
  }
}

std::optional<std::int64_t> WorkerLease::Grant(Milliseconds length, SteadyTime now) {
  if (!clock_ms_) {
    return std::nullopt;
  }
  const Milliseconds span = std::chrono::duration_cast<Milliseconds>(now - read_at_) + length;
  Extend(read_at_ + MaxElapsed(span) + kKillMargin);
  return *clock_ms_ + span.count();
}

Milliseconds WorkerLease::MaxElapsed(Milliseconds span) {
  return Milliseconds(
      static_cast<std::int64_t>(std::ceil(static_cast<double>(span.count()) / kMinClockRate)));
}

Milliseconds WorkerLease::MinElapsed(Milliseconds span) {
  return Milliseconds(
      static_cast<std::int64_t>(std::floor(static_cast<double>(span.count()) * kMinClockRate)));
}

void WorkerLease::Extend(SteadyTime ended_at) {
  leases_expired_at_ = std::max(leases_expired_at_.value_or(ended_at), ended_at);
}

std::optional<SteadyTime> WorkerLease::LeasesExpiredAt() const {
  // An empty optional compares less than any time.
  return std::max(leases_expired_at_, unanswered_lease_end_);
}

}  // namespace clementineloom::workload
