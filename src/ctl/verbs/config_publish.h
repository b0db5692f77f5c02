#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `config publish`.
[[nodiscard]] Verb ConfigPublishVerb();

}  // namespace clementineloom::ctl
