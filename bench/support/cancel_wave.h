#pragma once

#include <string>
#include <vector>

#include "clementineloom/model/instant.h"

namespace clementineloom::bench {

/// @brief Jobs, named by their keys, that are cancelled at the same time.
struct CancelWave {
  Instant at;
  std::vector<std::string> keys;

  friend auto operator<=>(const CancelWave&, const CancelWave&) = default;
};

}  // namespace clementineloom::bench
