#pragma once

#include "clementineloom/model/data_centre.h"

namespace clementineloom {

/// @brief Configuration edit: creates a data centre, or takes it out of or into service.
struct SetDataCentre {
  const DataCentre data_centre;

  friend auto operator<=>(const SetDataCentre&, const SetDataCentre&) = default;
};

}  // namespace clementineloom
