#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `team list`.
[[nodiscard]] Verb TeamListVerb();

}  // namespace clementineloom::ctl
