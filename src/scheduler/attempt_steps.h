#pragma once

#include <vector>

#include "clementineloom/state/record_body.h"
#include "scheduler/site_command.h"

namespace clementineloom::scheduler {

/// @brief The commands and proposals that are due for an attempt.
struct AttemptSteps {
  std::vector<SiteCommand> commands;
  std::vector<RecordBody> proposals;

  friend auto operator<=>(const AttemptSteps&, const AttemptSteps&) = default;
};

}  // namespace clementineloom::scheduler
