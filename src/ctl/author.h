#pragma once

#include <cxxopts.hpp>
#include <string>

#include "ctl/invocation.h"

namespace clementineloom::ctl {

/// @brief Adds --author, whose default is the user's name.
void AddAuthorOption(cxxopts::Options& options);

/// @brief The operator who is accountable for a change.
[[nodiscard]] std::string AuthorOf(const Invocation& invocation);

}  // namespace clementineloom::ctl
