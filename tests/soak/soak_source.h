#pragma once

#include <vector>

#include "soak/job_body_source.h"
#include "soak/job_mix.h"
#include "soak/soak_queue.h"

namespace clementineloom::soak {

/// @brief Where the jobs of one caller come from.
struct SoakSource {
  SoakQueue queue;
  /// Share of all submissions.
  double share = 0;
  AnyJobBodySource bodies;
};

/// @brief The sources of a mix, one for each caller, in the order in which the callers end.
[[nodiscard]] std::vector<SoakSource> SourcesOf(JobMix mix);

}  // namespace clementineloom::soak
