#pragma once

#include <algorithm>
#include <compare>
#include <cstdint>
#include <functional>
#include <optional>
#include <string_view>
#include <utility>
#include <vector>

#include "clementineloom/model/log_offset.h"
#include "clementineloom/routing/team_limit.h"
#include "clementineloom/routing/upstream.h"

namespace clementineloom {

/// @brief The upstreams that may get new requests and the limits of the teams, as of an offset of
/// the control stream.
///
/// Thread safety: an immutable value.
class RoutingView {
 public:
  RoutingView() = default;
  RoutingView(LogOffset as_of, std::vector<Upstream> upstreams, std::vector<TeamLimit> teams = {})
      : as_of_(as_of), upstreams_(std::move(upstreams)), teams_(std::move(teams)) {
    std::ranges::sort(teams_, {}, &TeamLimit::team);
  }

  [[nodiscard]] LogOffset as_of() const { return as_of_; }
  [[nodiscard]] const std::vector<Upstream>& upstreams() const { return upstreams_; }
  /// @brief The limits in the order of the teams' names.
  [[nodiscard]] const std::vector<TeamLimit>& teams() const { return teams_; }

  /// @brief The most requests that a team may have in progress, or nothing if it is unknown.
  /// Complexity: logarithmic.
  [[nodiscard]] std::optional<std::uint32_t> LimitOf(std::string_view team) const {
    const auto it = std::ranges::lower_bound(teams_, team, std::less<>(), &TeamLimit::team);
    if (it == teams_.end() || it->team != team) {
      return std::nullopt;
    }
    return it->max_concurrent;
  }

  friend auto operator<=>(const RoutingView&, const RoutingView&) = default;

 private:
  LogOffset as_of_;
  std::vector<Upstream> upstreams_;
  std::vector<TeamLimit> teams_;
};

}  // namespace clementineloom
