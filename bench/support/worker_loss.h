#pragma once

#include <string>

#include "clementineloom/model/instant.h"

namespace clementineloom::bench {

/// @brief A worker that is lost and later registers again.
struct WorkerLoss {
  std::string worker;
  Instant lost_at;
  Instant back_at;

  friend auto operator<=>(const WorkerLoss&, const WorkerLoss&) = default;
};

}  // namespace clementineloom::bench
