#pragma once

#include <compare>
#include <cstdint>
#include <string>
#include <vector>

#include "clementineloom/workload/keyed_value.h"

namespace clementineloom::entry {

/// @brief Records to be appended all or nothing, once. An immutable value.
struct AppendOrder {
  std::vector<workload::KeyedValue> items;
  /// Writer whose appends are numbered; the store takes each number once.
  std::string producer;
  /// Fencing token: the store refuses a writer with a lower one than it has seen.
  std::uint64_t epoch = 0;
  std::uint64_t sequence = 0;

  friend auto operator<=>(const AppendOrder&, const AppendOrder&) = default;
};

}  // namespace clementineloom::entry
