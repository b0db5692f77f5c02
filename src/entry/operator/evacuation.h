#pragma once

#include <compare>
#include <string>

namespace clementineloom::entry {

/// @brief The request to start nothing more in a data centre. An immutable value.
struct Evacuation {
  std::string data_centre;

  friend auto operator<=>(const Evacuation&, const Evacuation&) = default;
};

}  // namespace clementineloom::entry
