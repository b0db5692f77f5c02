#include "support/named_policy.h"

#include "clementineloom/decision/decision_engine.h"
#include "clementineloom/decision/first_fit_placer.h"
#include "support/counted_quota_placer.h"
#include "support/fifo_policy.h"
#include "support/virtual_run.h"

namespace clementineloom::bench {
namespace {

RunFigures RunFifo(const Deployment& deployment, const Workload& workload, QueueScope scope) {
  return RunPolicy(deployment, workload, GuaranteeAccounting::kCountedQuota,
                   FifoPolicy(CountedQuotaPlacer(scope)));
}

}  // namespace

std::vector<NamedPolicy> ComparedPolicies() {
  return {
      {"fifo",
       [](const auto& deployment, const auto& workload) {
         return RunFifo(deployment, workload, QueueScope::kCluster);
       }},
      {"fifo-per-team",
       [](const auto& deployment, const auto& workload) {
         return RunFifo(deployment, workload, QueueScope::kTeam);
       }},
  };
}

}  // namespace clementineloom::bench
