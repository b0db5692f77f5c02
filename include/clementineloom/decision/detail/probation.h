#pragma once

#include <cstdint>

namespace clementineloom::detail {

/// @brief A worker's way back from quarantine.
struct Probation {
  /// Quarantines in a row.
  std::uint32_t quarantines = 1;
  /// Live again, but not trusted until a job ended well there.
  bool is_probing = false;
  bool has_seen_job = false;

  friend auto operator<=>(const Probation&, const Probation&) = default;
};

}  // namespace clementineloom::detail
