#include "scheduler/attempt_publisher.h"

#include <memory>

#include "scheduler/make_attempt.h"

namespace clementineloom::scheduler {

void AttemptPublisher::MarkAllChanged(const ClusterState& state) {
  changed_.insert(state.active_jobs().begin(), state.active_jobs().end());
  changed_.insert(published_.begin(), published_.end());
}

void AttemptPublisher::Flush(const ClusterState& state) {
  while (!changed_.empty()) {
    const JobId job = *changed_.begin();
    if (const auto attempt = MakeAttempt(state, job)) {
      if (!driver_.TryPush(attempt)) {
        return;
      }
      published_.insert(job);
    } else if (published_.contains(job)) {
      if (!driver_.TryPush(AttemptEnded{job})) {
        return;
      }
      published_.erase(job);
    }
    changed_.erase(job);
  }
}

}  // namespace clementineloom::scheduler
