#pragma once

#include <span>
#include <string>
#include <vector>

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief All verbs in the order of the help. Thread safety: constant data.
[[nodiscard]] std::span<const Verb> Verbs();

/// @brief The verb that the words begin with, or nullptr.
[[nodiscard]] const Verb* FindVerb(const std::vector<std::string>& words);

/// @brief Number of words in the verb's name.
[[nodiscard]] std::size_t WordCount(const Verb& verb);

}  // namespace clementineloom::ctl
