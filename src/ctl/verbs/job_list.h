#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `job list`.
[[nodiscard]] Verb JobListVerb();

}  // namespace clementineloom::ctl
