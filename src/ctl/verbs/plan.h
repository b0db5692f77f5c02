#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `plan`.
[[nodiscard]] Verb PlanVerb();

}  // namespace clementineloom::ctl
