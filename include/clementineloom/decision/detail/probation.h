#pragma once

#include <cstdint>

namespace clementineloom::detail {

/// @brief Progress of a worker from quarantine back to normal use.
struct Probation {
  /// Consecutive quarantines.
  std::uint32_t quarantines = 1;
  /// Live again, but limited to one job at a time until a job has ended there without a failure.
  bool is_probing = false;
  bool has_seen_job = false;

  friend auto operator<=>(const Probation&, const Probation&) = default;
};

}  // namespace clementineloom::detail
