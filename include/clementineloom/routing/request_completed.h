#pragma once

#include <compare>
#include <optional>
#include <string>

#include "clementineloom/errors/run_state.h"
#include "clementineloom/routing/stored_answer.h"

namespace clementineloom {

/// @brief Record of the claims stream: the claimed request ran, or may have run.
struct RequestCompleted {
  std::string claim;
  /// kRan or kMayHaveRun.
  RunState run_state = RunState::kRan;
  /// Absent if there was no complete answer or if it is too large to be kept.
  std::optional<StoredAnswer> answer;

  friend auto operator<=>(const RequestCompleted&, const RequestCompleted&) = default;
};

}  // namespace clementineloom
