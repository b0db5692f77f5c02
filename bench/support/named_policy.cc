#include "support/named_policy.h"

#include <cstddef>
#include <limits>
#include <utility>

#include "clementineloom/decision/cell_placer.h"
#include "clementineloom/decision/decision_options.h"
#include "clementineloom/decision/default_decision_engine.h"
#include "support/counted_quota_placer.h"
#include "support/fifo_policy.h"
#include "support/virtual_run.h"

namespace clementineloom::bench {
namespace {

// Disables a rule that triggers at a count.
constexpr std::size_t kNever = std::numeric_limits<std::size_t>::max();

NamedPolicy Fifo(std::string name, QueueScope scope) {
  return {std::move(name), [scope](const Deployment& deployment, const Workload& workload) {
            return RunPolicy(deployment, workload, GuaranteeAccounting::kCountedQuota,
                             FifoPolicy(CountedQuotaPlacer(scope)));
          }};
}

NamedPolicy Loom(std::string name, const DecisionOptions& options) {
  return {std::move(name), [options](const Deployment& deployment, const Workload& workload) {
            return RunPolicy(deployment, workload, GuaranteeAccounting::kCells,
                             DefaultDecisionEngine(CellPlacer(), options));
          }};
}

}  // namespace

std::vector<NamedPolicy> ComparedPolicies() {
  return {Fifo("fifo", QueueScope::kCluster),
          Loom("loom", {}),
          Fifo("fifo-per-team", QueueScope::kTeam),
          Loom("loom-no-reservation", {.max_reservations = 0}),
          Loom("loom-no-backfill", {.max_backfill_tries = 0}),
          Loom("loom-no-quarantine", {.quarantine_after = kNever})};
}

}  // namespace clementineloom::bench
