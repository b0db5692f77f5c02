#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `status`.
[[nodiscard]] Verb StatusVerb();

}  // namespace clementineloom::ctl
