#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/workload/queue.h"
#include "entry/caller/call_kind.h"

namespace clementineloom::entry {

/// @brief A caller's call that passed the admission checks. An immutable value.
struct AdmittedCall {
  CallKind kind = CallKind::kOther;
  workload::Queue queue;
  /// Empty for a caller without a key at a public queue.
  std::string team;
  /// The job that the call names, as the caller wrote it; empty for the queue itself.
  std::string job;
  /// Time for which the caller waits for an answer.
  std::int64_t timeout_ms = 0;

  friend auto operator<=>(const AdmittedCall&, const AdmittedCall&) = default;
};

}  // namespace clementineloom::entry
