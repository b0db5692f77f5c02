#pragma once

#include <variant>

#include "scheduler/log_progress.h"
#include "scheduler/proposal.h"
#include "scheduler/snapshot_due.h"

namespace clementineloom::scheduler {

/// @brief What the append duty reacts to.
using AppendEvent = std::variant<Proposal, LogProgress, SnapshotDue>;

}  // namespace clementineloom::scheduler
