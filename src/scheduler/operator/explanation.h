#pragma once

#include <compare>
#include <string>

namespace clementineloom::scheduler {

/// @brief Answer to JobExplain.
struct Explanation {
  std::string text;

  friend auto operator<=>(const Explanation&, const Explanation&) = default;
};

}  // namespace clementineloom::scheduler
