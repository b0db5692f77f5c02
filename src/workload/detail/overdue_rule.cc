#include "clementineloom/workload/detail/overdue_rule.h"

#include <algorithm>
#include <string>

namespace clementineloom::workload::detail {

std::optional<StartCandidate> OverdueRule::WithoutWaits(const StartCandidate& step) {
  const auto& overdue = request_.overdue_steps;
  if (!std::binary_search(overdue.begin(), overdue.end(), step.step)) {
    return std::nullopt;
  }
  if (!use_) {
    use_ = ServiceUse::Of(request_.workers);
  }
  const std::string& service = step.job->submission->queue.service;
  if (use_->IsBusy(service)) {
    return std::nullopt;
  }
  StartCandidate without_waits = step;
  without_waits.takes_any_rack = true;
  without_waits.takes_reserved_room = !use_->HasBusyAccelerators(service);
  return without_waits;
}

}  // namespace clementineloom::workload::detail
