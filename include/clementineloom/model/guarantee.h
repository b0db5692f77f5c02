#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/model/gang_shape.h"

namespace clementineloom {

/// @brief A number of identical gang shapes that a team can always reclaim. An immutable value.
class Guarantee {
 public:
  Guarantee(GangShape shape, std::uint16_t count) : shape_(shape), count_(count) {}

  [[nodiscard]] const GangShape& shape() const { return shape_; }
  [[nodiscard]] std::uint16_t count() const { return count_; }

  friend auto operator<=>(const Guarantee&, const Guarantee&) = default;

 private:
  GangShape shape_;
  std::uint16_t count_;
};

}  // namespace clementineloom
