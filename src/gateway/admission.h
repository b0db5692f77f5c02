#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "clementineloom/errors/refusal.h"
#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/team_loads.h"
#include "gateway/caller_request.h"
#include "gateway/current_view.h"
#include "gateway/routing_options.h"

namespace clementineloom::gateway {

/// @brief Decides whether a request may be sent to an upstream at all.
///
/// Thread safety: none; use from the thread that owns the view and the loads.
class Admission {
 public:
  /// Precondition: the references outlive the admission.
  Admission(const RoutingOptions& options, const CurrentView& view, const TeamLoads& teams)
      : options_(options), view_(view), teams_(teams) {}

  /// @brief Why a request cannot be served now, or nullopt.
  [[nodiscard]] std::optional<Refusal> Check(const CallerRequest& request, MonotonicTime now) const;

  /// @brief Whether a team may have one more request in progress.
  [[nodiscard]] bool IsBelowTeamLimit(const std::string& team) const;

  /// @brief The refusal of a request that has waited for too long.
  [[nodiscard]] Refusal WaitTimeoutRefusal(const CallerRequest& request, MonotonicTime now) const;

 private:
  [[nodiscard]] std::optional<std::uint32_t> LimitOf(const std::string& team) const;

  const RoutingOptions& options_;
  const CurrentView& view_;
  const TeamLoads& teams_;
};

}  // namespace clementineloom::gateway
