#pragma once

#include <string>

#include "clementineloom/model/log_offset.h"

namespace clementineloom::platform {

/// @brief A record of a stream as the log service keeps it.
struct StoredRecord {
  LogOffset offset;
  std::string payload;

  friend auto operator<=>(const StoredRecord&, const StoredRecord&) = default;
};

}  // namespace clementineloom::platform
