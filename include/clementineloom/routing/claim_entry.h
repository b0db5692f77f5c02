#pragma once

#include <optional>
#include <string>

#include "clementineloom/errors/run_state.h"
#include "clementineloom/routing/monotonic_time.h"
#include "clementineloom/routing/stored_answer.h"

namespace clementineloom {

/// @brief The first claim of a key and its outcome. Thread safety: none; used by the one thread
/// that owns the table.
struct ClaimEntry {
  std::string claim;
  std::string digest;
  std::string gateway;
  /// When this replica read the claim.
  MonotonicTime seen_at;
  /// Absent while the request is in progress.
  std::optional<RunState> run_state;
  std::optional<StoredAnswer> answer;
};

}  // namespace clementineloom
