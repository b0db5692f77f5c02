#include "ctl/exit_code.h"

namespace clementineloom::ctl {
namespace {

constexpr unsigned kFirstInputCode = 1000;
constexpr unsigned kLastInputCode = 1999;

}  // namespace

ExitCode ExitCodeOf(const Refusal& refusal) {
  if (refusal.run_state == RunState::kMayHaveRun) {
    return ExitCode::kOutcomeUnknown;
  }
  switch (refusal.code) {
    case ResultCode::kUsage:
      return ExitCode::kUsage;
    case ResultCode::kRevisionConflict:
    case ResultCode::kPlanChanged:
      return ExitCode::kConflict;
    case ResultCode::kPeerUnavailable:
      return ExitCode::kUnreachable;
    default:
      break;
  }
  const auto number = static_cast<unsigned>(refusal.code);
  const bool is_input = number >= kFirstInputCode && number <= kLastInputCode;
  return is_input ? ExitCode::kInvalidInput : ExitCode::kRefused;
}

}  // namespace clementineloom::ctl
