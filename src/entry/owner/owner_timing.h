#pragma once

#include "clementineloom/workload/steady_time.h"

namespace clementineloom::entry {

/// @brief Times that the parts of an owner share.
struct OwnerTiming {
  /// A worker answers orders at once; a longer silence counts as no answer.
  static constexpr workload::Milliseconds kOrderTimeout{700};
  /// A worker that refused, failed a run or did not answer gets no new run for this time.
  static constexpr workload::Milliseconds kRestAfterFailure{1'000};
  /// The same for a worker that failed several jobs in a row, or on which a run stood still.
  static constexpr workload::Milliseconds kLongRest{4'000};
};

}  // namespace clementineloom::entry
