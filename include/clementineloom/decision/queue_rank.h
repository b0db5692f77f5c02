#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Order of waiting jobs before fairness and age.
///
/// All jobs with an idle cell come before all that borrow, urgent ones too: a borrower that took
/// the place of a guaranteed job would be stopped and placed there again in each pass.
enum class QueueRank : std::uint8_t {
  kUrgentGuaranteed,
  kGuaranteed,
  kLowGuaranteed,
  kUrgentBorrowing,
  kBorrowing,
  kLowBorrowing,
};

/// @brief Whether a job of this rank may only borrow.
[[nodiscard]] constexpr bool IsBorrowing(QueueRank rank) {
  return rank >= QueueRank::kUrgentBorrowing;
}

}  // namespace clementineloom
