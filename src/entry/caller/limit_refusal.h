#pragma once

#include <chrono>
#include <compare>

#include "clementineloom/errors/refusal.h"

namespace clementineloom::entry {

/// @brief The refusal of a submission by the limits of its team. An immutable value.
struct LimitRefusal {
  Refusal refusal;
  /// When the caller may come back.
  std::chrono::seconds retry_after{0};

  friend auto operator<=>(const LimitRefusal&, const LimitRefusal&) = default;
};

}  // namespace clementineloom::entry
