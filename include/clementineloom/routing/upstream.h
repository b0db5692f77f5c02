#pragma once

#include <compare>
#include <cstdint>
#include <string>

#include "clementineloom/model/data_centre_id.h"
#include "clementineloom/model/worker_id.h"

namespace clementineloom {

/// @brief A worker that may get requests. An immutable value.
struct Upstream {
  const WorkerId worker;
  const std::string address;
  const DataCentreId data_centre;
  /// Maximum number of requests that one gateway has in progress there.
  const std::uint16_t slots = 8;
  /// Its name in the instance list.
  const std::string name = {};
  /// Maximum number of connections that it accepts from all gateways together.
  const std::uint16_t connections = 64;

  friend auto operator<=>(const Upstream&, const Upstream&) = default;
};

}  // namespace clementineloom
