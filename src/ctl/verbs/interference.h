#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `interference`.
[[nodiscard]] Verb InterferenceVerb();

}  // namespace clementineloom::ctl
