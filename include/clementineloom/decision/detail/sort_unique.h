#pragma once

#include <algorithm>
#include <vector>

namespace clementineloom::detail {

/// @brief Sorts the items and removes duplicates.
template <class T>
void SortUnique(std::vector<T>& items) {
  std::sort(items.begin(), items.end());
  items.erase(std::unique(items.begin(), items.end()), items.end());
}

}  // namespace clementineloom::detail
