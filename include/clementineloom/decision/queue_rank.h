#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Primary order of waiting jobs; fairness and age decide within a rank.
///
/// All jobs with an idle cell precede all borrowing jobs, urgent ones included. Otherwise a
/// borrowing job could take the workers of a guaranteed job, and would be stopped and placed there
/// again in each pass.
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
