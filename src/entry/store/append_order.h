#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/keyed_value.h"

namespace clementineloom::entry {

/// @brief Records to be appended atomically and exactly once. An immutable value.
struct AppendOrder {
  std::vector<workload::KeyedValue> items;
  /// Id of the writer; the store accepts each of its sequence numbers once.
  std::string producer;
  /// Fencing token: the store refuses a writer whose epoch is lower than the highest it has seen.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const AppendOrder&, const AppendOrder&) = default;
};

}  // namespace clementineloom::entry
