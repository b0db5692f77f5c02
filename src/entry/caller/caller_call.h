#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "entry/caller/call_kind.h"

namespace clementineloom::entry {

/// @brief A decoded request of a caller. An immutable value.
struct CallerCall {
  CallKind kind = CallKind::kOther;
  std::string host;
  std::string path;
  /// API key of the caller's team; empty if the request has none.
  std::string key;
  /// Time for which the caller waits for an answer.
  std::int64_t timeout_ms = 0;

  friend auto operator<=>(const CallerCall&, const CallerCall&) = default;
};

}  // namespace clementineloom::entry
