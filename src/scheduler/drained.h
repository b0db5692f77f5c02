#pragma once

#include <compare>
#include <cstdint>

namespace clementineloom::scheduler {

/// @brief Which duty has finished what it had begun.
enum class DrainedDuty : std::uint8_t { kDecision, kDriver };

/// @brief A duty's report that it has nothing left to finish before the process ends.
struct Drained {
  DrainedDuty duty = DrainedDuty::kDecision;

  friend auto operator<=>(const Drained&, const Drained&) = default;
};

}  // namespace clementineloom::scheduler
