#pragma once

#include <string_view>

#include "clementineloom/errors/run_state.h"

namespace clementineloom {

/// @brief The snake_case name of a run state, as used in answers and logs.
[[nodiscard]] constexpr std::string_view RunStateName(RunState state) {
  switch (state) {
    case RunState::kDidNotRun:
      return "did_not_run";
    case RunState::kMayHaveRun:
      return "may_have_run";
    case RunState::kRan:
      return "ran";
  }
  return "may_have_run";
}

}  // namespace clementineloom
