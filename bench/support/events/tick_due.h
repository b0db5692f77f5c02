#pragma once

namespace clementineloom::bench {

/// @brief Nothing happened; gives rules that depend on time a chance to act.
struct TickDue {
  friend auto operator<=>(const TickDue&, const TickDue&) = default;
};

}  // namespace clementineloom::bench
