#pragma once

#include <compare>
#include <optional>

#include "entry/caller/attempt_history.h"
#include "net/http_response.h"

namespace clementineloom::entry {

/// @brief Outcome of a request that was forwarded to peers. An immutable value.
struct PeerOutcome {
  /// Answer for the caller; a refusal only if the history shows that no attempt may have run.
  std::optional<net::HttpResponse> answer;
  AttemptHistory history;

  [[nodiscard]] bool is_success() const { return history.state() == RunState::kRan; }

  friend auto operator<=>(const PeerOutcome&, const PeerOutcome&) = default;
};

}  // namespace clementineloom::entry
