#pragma once

#include <compare>
#include <cstddef>

#include "clementineloom/model/config_revision.h"
#include "scheduler/view_freshness.h"

namespace clementineloom::scheduler {

/// @brief What the admin page shows of the decision duty. An immutable value.
struct HealthView {
  ViewFreshness freshness;
  ConfigRevision config_revision;
  bool is_draining = false;

  friend auto operator<=>(const HealthView&, const HealthView&) = default;
};

}  // namespace clementineloom::scheduler
