#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::scheduler {

/// @brief The duty that has drained.
enum class DrainedDuty : std::uint8_t { kDecision, kDriver };

/// @brief Reports that a duty has finished all work that it had begun.
struct Drained {
  DrainedDuty duty = DrainedDuty::kDecision;

  friend auto operator<=>(const Drained&, const Drained&) = default;
};

}  // namespace clementineloom::scheduler
