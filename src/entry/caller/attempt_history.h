#pragma once

#include <algorithm>
#include <compare>

#include "clementineloom/errors/run_state.h"

namespace clementineloom::entry {

/// @brief Combined outcome of all attempts at a request, as far as it is known whether it ran.
///
/// A request may be sent to several instances. If one attempt has an unknown outcome, the refusal
/// of a later one does not settle it: the whole request may be refused only if no attempt may have
/// run. An immutable value.
class AttemptHistory {
 public:
  /// @brief A history without attempts: the request did not run.
  constexpr AttemptHistory() = default;

  /// @brief This history with one more attempt.
  [[nodiscard]] constexpr AttemptHistory With(RunState attempt) const {
    return AttemptHistory(std::max(state_, attempt));
  }
  /// @brief This history with the attempts of another one.
  [[nodiscard]] constexpr AttemptHistory With(const AttemptHistory& attempts) const {
    return With(attempts.state_);
  }

  [[nodiscard]] constexpr RunState state() const { return state_; }

  /// @brief Whether no attempt may have run, so that the whole request may be refused.
  [[nodiscard]] constexpr bool MayBeRefused() const { return state_ == RunState::kDidNotRun; }

  friend constexpr auto operator<=>(const AttemptHistory&, const AttemptHistory&) = default;

 private:
  // The states are ordered by how much may have happened; With() relies on this order.
  static_assert(RunState::kDidNotRun < RunState::kMayHaveRun &&
                RunState::kMayHaveRun < RunState::kRan);

  constexpr explicit AttemptHistory(RunState state) : state_(state) {}

  RunState state_ = RunState::kDidNotRun;
};

}  // namespace clementineloom::entry
