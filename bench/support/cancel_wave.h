#pragma once

#include <string>
#include <vector>

#include "clementineloom/model/instant.h"

namespace clementineloom::bench {

/// @brief Jobs, named by their keys, that their callers cancel at once.
struct CancelWave {
  Instant at;
  std::vector<std::string> keys;

  friend auto operator<=>(const CancelWave&, const CancelWave&) = default;
};

}  // namespace clementineloom::bench
