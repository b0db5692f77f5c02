#pragma once

#include <compare>
#include <string>

namespace clementineloom::workload {

/// @brief A record of a compacted topic: the newest value of a key stays. An immutable value.
struct KeyedValue {
  std::string key;
  /// Empty to drop the key.
  std::string value;

  friend auto operator<=>(const KeyedValue&, const KeyedValue&) = default;
};

}  // namespace clementineloom::workload
