#pragma once

namespace clementineloom::bench {

/// @brief Triggers a decision pass without a change, for rules that depend on time.
struct TickDue {
  friend auto operator<=>(const TickDue&, const TickDue&) = default;
};

}  // namespace clementineloom::bench
