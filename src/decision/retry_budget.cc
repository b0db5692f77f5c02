#include "clementineloom/decision/retry_budget.h"

namespace clementineloom {

bool RetryBudget::MayRetry(TeamId team, std::uint32_t limit, Instant now) {
  auto& retries = retries_[team];
  while (!retries.empty() && retries.front() + kWindow <= now) {
    retries.pop_front();
  }
  return retries.size() < limit;
}

}  // namespace clementineloom
