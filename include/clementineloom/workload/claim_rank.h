#pragma once

#include <compare>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "clementineloom/workload/owner_record.h"

namespace clementineloom::workload {

/// @brief The place of an instance among the candidates to succeed an owner. An immutable value.
///
/// Larger instances come first, then those that a hash of the name and the owner's epoch prefers:
/// instances that have read the same records get different ranks, and no instance is always the
/// first. The last owner, which is probably dead, comes last.
/// Thread safety: may be used from any thread.
struct ClaimRank {
  /// Number of candidates that come before.
  std::size_t rank = 0;
  /// How many of these have the size of the largest candidate; 0 if the instance itself has it or
  /// its size is not known. At most `rank`.
  std::size_t largest = 0;

  /// @param sizes of the instances that are known, in thousandths of a core; 0 where not known
  /// @param cpu_millicores size of the instance, which need not be listed
  /// @param last_owner the one to succeed; empty in a new system
  [[nodiscard]] static ClaimRank Of(const std::map<std::string, std::int64_t>& sizes,
                                    const std::string& instance, std::int64_t cpu_millicores,
                                    const std::optional<OwnerRecord>& last_owner);

  friend auto operator<=>(const ClaimRank&, const ClaimRank&) = default;
};

}  // namespace clementineloom::workload
