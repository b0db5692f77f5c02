#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `job cancel`.
[[nodiscard]] Verb JobCancelVerb();

}  // namespace clementineloom::ctl
