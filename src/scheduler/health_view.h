#pragma once

#include <compare>
#include <cstddef>

#include "clementineloom/model/config_revision.h"
#include "scheduler/view_freshness.h"

namespace clementineloom::scheduler {

/// @brief State of the decision duty that the admin endpoints report. An immutable value.
struct HealthView {
  ViewFreshness freshness;
  ConfigRevision config_revision;
  bool is_draining = false;

  friend auto operator<=>(const HealthView&, const HealthView&) = default;
};

}  // namespace clementineloom::scheduler
