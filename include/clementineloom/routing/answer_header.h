#pragma once

#include <compare>
#include <string>

namespace clementineloom {

/// @brief A header field of a stored answer. An immutable value.
struct AnswerHeader {
  std::string name;
  std::string value;

  friend auto operator<=>(const AnswerHeader&, const AnswerHeader&) = default;
};

}  // namespace clementineloom
