#pragma once

#include <compare>
#include <string>

namespace clementineloom {

/// @brief A worker that the instance list shows as live. An immutable value.
struct ListedWorker {
  std::string name;
  std::string address;

  friend auto operator<=>(const ListedWorker&, const ListedWorker&) = default;
};

}  // namespace clementineloom
