#pragma once

#include <compare>
#include <vector>

#include "settings/problem.h"

namespace clementineloom::settings {

/// @brief A value read from a file and all problems of the file.
///
/// The value may be used only if there are no problems.
template <class T>
struct Checked {
  T value;
  std::vector<Problem> problems;
};

}  // namespace clementineloom::settings
