#pragma once

#include <compare>
#include <string>

namespace clementineloom::workload {

/// @brief Two kinds of tasks on one worker: one that may be slowed, and its neighbour. An immutable
/// value.
struct KindPair {
  std::string slowed;
  std::string neighbour;

  friend auto operator<=>(const KindPair&, const KindPair&) = default;
};

}  // namespace clementineloom::workload
