#pragma once

#include <vector>

#include "clementineloom/routing/claim_record.h"

namespace clementineloom::gateway {

/// @brief Event: records read from the claims stream, in log order.
struct ClaimsRead {
  std::vector<ClaimRecord> records;
  /// Whether the records reach the tail of the stream.
  bool is_at_tail = false;
};

}  // namespace clementineloom::gateway
