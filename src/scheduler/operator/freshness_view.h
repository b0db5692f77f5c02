#pragma once

#include <compare>
#include <optional>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/log_offset.h"

namespace clementineloom::scheduler {

/// @brief Answer to PeerView: the freshness of this scheduler's view of the control stream.
struct FreshnessView {
  LogOffset applied_offset;
  LogOffset tail;
  /// Not set until the view has reached the tail once.
  std::optional<Duration> age;

  friend auto operator<=>(const FreshnessView&, const FreshnessView&) = default;
};

}  // namespace clementineloom::scheduler
