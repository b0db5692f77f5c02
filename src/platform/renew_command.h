#pragma once

#include <compare>

#include "clementineloom/model/instant.h"
#include "platform/task_key.h"

namespace clementineloom::platform {

/// @brief Renews the lease of a running task; the new lease starts now.
struct RenewCommand {
  TaskKey key;
  Duration lease{10'000};

  friend auto operator<=>(const RenewCommand&, const RenewCommand&) = default;
};

}  // namespace clementineloom::platform
