#pragma once

#include <string>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/job_spec.h"

namespace clementineloom {

/// @brief A job was accepted; a second record with the same key has no effect.
struct JobSubmitted {
  const std::string key;
  const JobSpec spec;
  const Instant submitted_at;

  friend auto operator<=>(const JobSubmitted&, const JobSubmitted&) = default;
};

}  // namespace clementineloom
