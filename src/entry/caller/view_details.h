#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::entry {

/// @brief What this instance's view of the jobs rests on, for the log. An immutable value.
struct ViewDetails {
  /// Offset of the next record to read.
  std::uint64_t next_offset = 0;
  /// Whether this instance owns the workers.
  bool is_owner = false;
  /// Whether the view is being loaded, or does not reach the end of the topic.
  bool is_behind = false;

  friend auto operator<=>(const ViewDetails&, const ViewDetails&) = default;
};

}  // namespace clementineloom::entry
