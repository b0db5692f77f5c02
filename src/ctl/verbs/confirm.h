#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `confirm`.
[[nodiscard]] Verb ConfirmVerb();

}  // namespace clementineloom::ctl
