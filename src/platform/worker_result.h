#pragma once

#include <compare>
#include <variant>

#include "clementineloom/errors/refusal.h"
#include "net/call_id.h"
#include "platform/task_report.h"

namespace clementineloom::platform {

/// @brief The result of a WorkerCall: the worker's report of the task after the command, or a
/// refusal with one of the codes that WorkerClient lists. An immutable value.
struct WorkerResult {
  net::CallId id;
  std::variant<TaskReport, Refusal> outcome;

  friend auto operator<=>(const WorkerResult&, const WorkerResult&) = default;
};

}  // namespace clementineloom::platform
