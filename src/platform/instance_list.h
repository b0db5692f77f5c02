#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "platform/instance.h"

namespace clementineloom::platform {

/// @brief The platform's list of live and leaving instances. An immutable value.
struct InstanceList {
  /// Increases with every change; a list with a lower version than one already seen is stale.
  std::uint64_t version = 0;
  std::vector<Instance> instances;

  friend auto operator<=>(const InstanceList&, const InstanceList&) = default;
};

}  // namespace clementineloom::platform
