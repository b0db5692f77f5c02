#pragma once

#include <cstdint>

namespace clementineloom {

/// @brief Order of waiting jobs before fairness and age.
enum class QueueRank : std::uint8_t {
  kUrgent,
  kGuaranteed,
  kGuaranteedLow,
  kBorrowing,
  kBorrowingLow,
};

}  // namespace clementineloom
