#include "entry/election/owner_options_of.h"

#include <algorithm>
#include <chrono>

namespace clementineloom::entry {
namespace {

// Long enough to outlast a change of owner. Workers shorten leases beyond their own maximum, so
// that the lease stays below that by the margin.
constexpr workload::Milliseconds kLease{5'500};
constexpr workload::Milliseconds kLeaseMargin{200};

}  // namespace

OwnerOptions OwnerOptionsOf(const settings::EntrySettings& settings, std::uint64_t epoch,
                            std::optional<workload::SteadyTime> handed_over_at) {
  OwnerOptions options;
  options.instance = settings.instance;
  options.epoch = epoch;
  options.max_lease = workload::Milliseconds{settings.max_lease_ms};
  options.lease = std::min(kLease, options.max_lease - kLeaseMargin);
  options.stop_timeout = workload::Milliseconds{settings.stop_timeout_ms};
  options.gang_timeout = workload::Milliseconds{settings.gang_timeout_ms};
  options.retention = std::chrono::seconds{settings.state_retention_s};
  options.advice_address = settings.advice;
  options.handed_over_at = handed_over_at;
  return options;
}

}  // namespace clementineloom::entry
