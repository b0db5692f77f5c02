#include "scheduler/attempt_publisher.h"

#include <memory>

#include "scheduler/make_attempt.h"

namespace clementineloom::scheduler {

void AttemptPublisher::TouchAll(const ClusterState& state) {
  touched_.insert(state.active_jobs().begin(), state.active_jobs().end());
  touched_.insert(told_.begin(), told_.end());
}

void AttemptPublisher::Flush(const ClusterState& state) {
  while (!touched_.empty()) {
    const JobId job = *touched_.begin();
    if (const auto attempt = MakeAttempt(state, job)) {
      if (!driver_.TryPush(attempt)) {
        return;
      }
      told_.insert(job);
    } else if (told_.contains(job)) {
      if (!driver_.TryPush(AttemptEnded{job})) {
        return;
      }
      told_.erase(job);
    }
    touched_.erase(job);
  }
}

}  // namespace clementineloom::scheduler
