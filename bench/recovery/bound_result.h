#pragma once

#include <compare>
#include <cstdint>
#include <optional>
#include <string>

namespace clementineloom::bench {

/// @brief A bound of a trouble and the worst value over all seeds. An immutable value.
struct BoundResult {
  std::string trouble;
  std::string figure;
  std::int64_t bound = 0;
  /// Absent if it did not happen in every run, so that the bound is missed.
  std::optional<std::int64_t> worst;

  friend auto operator<=>(const BoundResult&, const BoundResult&) = default;

  [[nodiscard]] bool is_met() const { return worst && *worst <= bound; }
};

}  // namespace clementineloom::bench
