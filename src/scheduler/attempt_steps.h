#pragma once

#include <vector>

#include "clementineloom/state/record_body.h"
#include "scheduler/member_command.h"

namespace clementineloom::scheduler {

/// @brief The commands and proposals that are due for an attempt.
struct AttemptSteps {
  std::vector<MemberCommand> commands;
  std::vector<RecordBody> proposals;

  friend auto operator<=>(const AttemptSteps&, const AttemptSteps&) = default;
};

}  // namespace clementineloom::scheduler
