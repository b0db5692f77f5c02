#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `datacentre in`.
[[nodiscard]] Verb DatacentreInVerb();

}  // namespace clementineloom::ctl
