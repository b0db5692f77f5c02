#pragma once

#include <compare>
#include <cstdint>

#include "clementineloom/workload/keyed_value.h"

namespace clementineloom::entry {

/// @brief A record of a compacted topic with its offset. An immutable value.
struct TopicItem {
  std::uint64_t offset = 0;
  workload::KeyedValue item;

  friend auto operator<=>(const TopicItem&, const TopicItem&) = default;
};

}  // namespace clementineloom::entry
