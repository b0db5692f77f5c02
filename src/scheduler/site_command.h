#pragma once

#include <compare>
#include <cstddef>

#include "scheduler/site_action.h"

namespace clementineloom::scheduler {

/// @brief A command to send to one site of an attempt. An immutable value.
struct SiteCommand {
  std::size_t site = 0;
  SiteAction action = SiteAction::kNone;

  friend auto operator<=>(const SiteCommand&, const SiteCommand&) = default;
};

}  // namespace clementineloom::scheduler
