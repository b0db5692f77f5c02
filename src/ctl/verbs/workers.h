#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `workers`.
[[nodiscard]] Verb WorkersVerb();

}  // namespace clementineloom::ctl
