#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief The verb `datacentre out`.
[[nodiscard]] Verb DatacentreOutVerb();

}  // namespace clementineloom::ctl
