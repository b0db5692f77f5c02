#pragma once

#include <compare>

#include "clementineloom/model/job_id.h"

namespace clementineloom::scheduler {

/// @brief A job no longer holds accelerators. An immutable value.
struct AttemptEnded {
  JobId job;

  friend auto operator<=>(const AttemptEnded&, const AttemptEnded&) = default;
};

}  // namespace clementineloom::scheduler
