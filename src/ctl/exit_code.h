#pragma once

#include "clementineloom/errors/refusal.h"

namespace clementineloom::ctl {

/// @brief Exit status of loomctl. Numbers are never reused.
enum class ExitCode : int {
  kOk = 0,
  /// The scheduler refused; nothing was done.
  kRefused = 1,
  /// The command line is wrong.
  kUsage = 2,
  /// A file or a value has mistakes.
  kInvalidInput = 3,
  /// The configuration changed since the plan was made: read the new plan.
  kConflict = 4,
  /// No scheduler answers at the address; nothing was done.
  kUnreachable = 5,
  /// Whether the command took effect is not known: read the state before repeating it.
  kOutcomeUnknown = 6
};

/// @brief The exit status for a refusal.
[[nodiscard]] ExitCode ExitCodeOf(const Refusal& refusal);

}  // namespace clementineloom::ctl
