#pragma once

#include <compare>
#include <memory>
#include <string>

#include "clementineloom/state/state_image.h"

namespace clementineloom::scheduler {

/// @brief A state to write to the control stream as a snapshot. An immutable value.
struct SnapshotDue {
  std::string id;
  std::shared_ptr<const StateImage> image;

  friend auto operator<=>(const SnapshotDue&, const SnapshotDue&) = default;
};

}  // namespace clementineloom::scheduler
