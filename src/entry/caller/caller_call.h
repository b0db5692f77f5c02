#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "entry/caller/call_kind.h"

namespace clementineloom::entry {

/// @brief A caller's request, without the encoding. An immutable value.
struct CallerCall {
  CallKind kind = CallKind::kOther;
  std::string host;
  std::string path;
  /// Key of a team; empty for none.
  std::string key;
  /// How long the caller waits for an answer.
  std::int64_t timeout_ms = 0;

  friend auto operator<=>(const CallerCall&, const CallerCall&) = default;
};

}  // namespace clementineloom::entry
