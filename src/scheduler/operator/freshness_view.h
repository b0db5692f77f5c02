#pragma once

#include <compare>
#include <optional>

#include "clementineloom/model/instant.h"
#include "clementineloom/model/log_offset.h"

namespace clementineloom::scheduler {

/// @brief Answer to PeerView: how new this scheduler's view of the control stream is.
struct FreshnessView {
  LogOffset applied_offset;
  LogOffset tail;
  /// Not set until the view was at the tail once.
  std::optional<Duration> age;

  friend auto operator<=>(const FreshnessView&, const FreshnessView&) = default;
};

}  // namespace clementineloom::scheduler
