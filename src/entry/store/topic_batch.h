#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "entry/store/topic_item.h"

namespace clementineloom::entry {

/// @brief Consecutive records of a topic from a requested offset. An immutable value.
struct TopicBatch {
  std::vector<TopicItem> items;
  std::uint64_t end_offset = 0;

  friend auto operator<=>(const TopicBatch&, const TopicBatch&) = default;
};

}  // namespace clementineloom::entry
