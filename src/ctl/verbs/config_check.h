#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `config check`.
[[nodiscard]] Verb ConfigCheckVerb();

}  // namespace clementineloom::ctl
