#pragma once

#include <compare>
#include <string>

#include "clementineloom/errors/run_state.h"

namespace clementineloom::scheduler {

/// @brief The append duty dropped a proposal. An immutable value.
struct ProposalDropped {
  std::string record_id;
  /// kDidNotRun only if the record certainly is not in the stream and never will be.
  RunState run_state = RunState::kMayHaveRun;

  friend auto operator<=>(const ProposalDropped&, const ProposalDropped&) = default;
};

}  // namespace clementineloom::scheduler
