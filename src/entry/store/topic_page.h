#pragma once

#include <compare>
#include <cstdint>
#include <vector>

#include "entry/store/topic_item.h"

namespace clementineloom::entry {

/// @brief A page of a topic's newest records, one for each key. An immutable value.
struct TopicPage {
  std::vector<TopicItem> items;
  bool has_more = false;
  /// Offset of the next record to be appended to the topic.
  std::uint64_t end_offset = 0;

  friend auto operator<=>(const TopicPage&, const TopicPage&) = default;
};

}  // namespace clementineloom::entry
