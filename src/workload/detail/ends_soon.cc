#include "clementineloom/workload/detail/ends_soon.h"

#include "clementineloom/workload/expected_rest.h"

namespace clementineloom::workload::detail {
namespace {

// A stop takes a good part of this time too, and throws the work away.
constexpr Milliseconds kEndsSoon{400};
// A run that should have ended this long ago goes on for longer than its pace showed.
constexpr Milliseconds kOverdue{300};

}  // namespace

bool EndsSoon(const PlacedRun& run, SteadyTime now) {
  if (run.stage != RunStage::kRunning) {
    return false;
  }
  const auto rest = ExpectedRest(run, now);
  return rest && *rest <= kEndsSoon && *rest >= -kOverdue;
}

}  // namespace clementineloom::workload::detail
