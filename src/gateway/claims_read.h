#pragma once

#include <vector>

#include "clementineloom/routing/claim_record.h"

namespace clementineloom::gateway {

/// @brief Records read from the claims stream, in order.
struct ClaimsRead {
  std::vector<ClaimRecord> records;
  /// Whether these were the newest records.
  bool is_at_tail = false;
};

}  // namespace clementineloom::gateway
