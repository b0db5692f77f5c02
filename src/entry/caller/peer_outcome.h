#pragma once

#include <compare>
#include <optional>

#include "entry/caller/run_history.h"
#include "net/http_response.h"

namespace clementineloom::entry {

/// @brief What became of a request that was handed to peers. An immutable value.
struct PeerOutcome {
  /// Answer for the caller; a refusal only where the history says that no attempt may have run.
  std::optional<net::HttpResponse> answer;
  RunHistory history;

  [[nodiscard]] bool is_success() const { return history.state() == RunState::kRan; }

  friend auto operator<=>(const PeerOutcome&, const PeerOutcome&) = default;
};

}  // namespace clementineloom::entry
