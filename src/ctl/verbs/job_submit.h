#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `job submit`.
[[nodiscard]] Verb JobSubmitVerb();

}  // namespace clementineloom::ctl
