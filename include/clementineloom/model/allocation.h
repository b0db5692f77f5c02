#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/model/worker_id.h"

namespace clementineloom {

/// @brief Accelerators of one worker that a gang holds. An immutable value of 8 bytes.
class Allocation {
 public:
  Allocation(WorkerId worker, std::uint16_t accelerators)
      : worker_(worker), accelerators_(accelerators) {}

  [[nodiscard]] WorkerId worker() const { return worker_; }
  [[nodiscard]] std::uint16_t accelerators() const { return accelerators_; }

  friend auto operator<=>(const Allocation&, const Allocation&) = default;

 private:
  WorkerId worker_;
  std::uint16_t accelerators_;
};

}  // namespace clementineloom
