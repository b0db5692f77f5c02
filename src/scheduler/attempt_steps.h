#pragma once

#include <vector>

#include "clementineloom/state/record_body.h"
#include "scheduler/site_command.h"

namespace clementineloom::scheduler {

/// @brief What is to be done for an attempt now.
struct AttemptSteps {
  std::vector<SiteCommand> commands;
  std::vector<RecordBody> proposals;

  friend auto operator<=>(const AttemptSteps&, const AttemptSteps&) = default;
};

}  // namespace clementineloom::scheduler
