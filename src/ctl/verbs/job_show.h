#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `job show`.
[[nodiscard]] Verb JobShowVerb();

}  // namespace clementineloom::ctl
