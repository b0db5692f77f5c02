#pragma once

#include <compare>
#include <string>

#include "clementineloom/model/instant.h"
#include "platform/task_key.h"

namespace clementineloom::platform {

/// @brief Starts a reserved task under a lease.
struct StartCommand {
  TaskKey key;
  /// Opaque to the scheduler.
  std::string command;
  Duration lease{10'000};

  friend auto operator<=>(const StartCommand&, const StartCommand&) = default;
};

}  // namespace clementineloom::platform
