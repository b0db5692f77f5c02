#pragma once

#include <string>

#include "clementineloom/state/record_body.h"

namespace clementineloom {

/// @brief A record of the control stream. An immutable value.
struct Record {
  /// Unique; an append that is repeated under the same id has no second effect.
  const std::string id;
  const RecordBody body;

  friend auto operator<=>(const Record&, const Record&) = default;
};

}  // namespace clementineloom
