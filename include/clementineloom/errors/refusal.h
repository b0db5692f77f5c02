#pragma once

#include <string>

#include "clementineloom/errors/result_code.h"
#include "clementineloom/errors/run_state.h"

namespace clementineloom {

/// @brief The error value carried by every failed Result.
///
/// Thread safety: immutable, safe to share.
struct Refusal {
  const ResultCode code;
  const RunState run_state = RunState::kDidNotRun;
  const std::string detail;

  friend auto operator<=>(const Refusal&, const Refusal&) = default;
};

}  // namespace clementineloom
