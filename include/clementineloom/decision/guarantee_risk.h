#pragma once

#include <cstdint>
#include <string>

#include "clementineloom/model/gang_shape.h"

namespace clementineloom {

/// @brief A guarantee of which some shapes cannot be reclaimed at present.
struct GuaranteeRisk {
  std::string team;
  std::uint16_t guarantee_index = 0;
  GangShape shape;
  /// How many of the guarantee's equal shapes are bound to no workers.
  std::uint16_t shapes = 0;

  friend auto operator<=>(const GuaranteeRisk&, const GuaranteeRisk&) = default;
};

}  // namespace clementineloom
