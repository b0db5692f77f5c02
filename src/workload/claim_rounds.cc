#include "clementineloom/workload/claim_rounds.h"

#include <algorithm>
#include <cmath>
#include <cstdint>

namespace clementineloom::workload {

ClaimRounds ClaimRounds::ForInstances(std::size_t instances) {
  const auto length = kRoundPerInstance * static_cast<std::int64_t>(instances);
  return ClaimRounds(std::clamp<Milliseconds>(length, kMinRound, kMaxRound));
}

Milliseconds ClaimRounds::DelayOf(std::size_t rank) const {
  const double rounds = std::log2(static_cast<double>(rank) + 1);
  return Milliseconds(std::llround(rounds * static_cast<double>(length_.count())));
}

}  // namespace clementineloom::workload
