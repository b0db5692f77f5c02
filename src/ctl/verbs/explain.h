#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `explain`.
[[nodiscard]] Verb ExplainVerb();

}  // namespace clementineloom::ctl
