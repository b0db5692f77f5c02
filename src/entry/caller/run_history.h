#pragma once

#include <algorithm>
#include <compare>

#include "clementineloom/errors/run_state.h"

namespace clementineloom::entry {

/// @brief What all attempts at a request together tell about whether it is carried out.
///
/// A request is tried at several places. What one attempt leaves open, the refusal of a later one
/// cannot settle: the request may be refused only while no attempt may have run. An immutable
/// value.
class RunHistory {
 public:
  /// @brief A history without attempts: the request did not run.
  constexpr RunHistory() = default;

  /// @brief This history and one more attempt.
  [[nodiscard]] constexpr RunHistory With(RunState attempt) const {
    return RunHistory(std::max(state_, attempt));
  }
  /// @brief This history and the attempts of another one.
  [[nodiscard]] constexpr RunHistory With(const RunHistory& attempts) const {
    return With(attempts.state_);
  }

  [[nodiscard]] constexpr RunState state() const { return state_; }

  /// @brief Whether a refusal of the whole request is true.
  [[nodiscard]] constexpr bool MayBeRefused() const { return state_ == RunState::kDidNotRun; }

  friend constexpr auto operator<=>(const RunHistory&, const RunHistory&) = default;

 private:
  // The states of an attempt are ordered by how much may have happened.
  static_assert(RunState::kDidNotRun < RunState::kMayHaveRun &&
                RunState::kMayHaveRun < RunState::kRan);

  constexpr explicit RunHistory(RunState state) : state_(state) {}

  RunState state_ = RunState::kDidNotRun;
};

}  // namespace clementineloom::entry
