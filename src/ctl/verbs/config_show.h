#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `config show`.
[[nodiscard]] Verb ConfigShowVerb();

}  // namespace clementineloom::ctl
