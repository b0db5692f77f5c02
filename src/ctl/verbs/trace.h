#pragma once

#include "ctl/verb.h"

namespace clementineloom::ctl {

/// @brief "trace ID --logs FILE...": what became of a job of the entry instances, from their logs.
[[nodiscard]] Verb TraceVerb();

}  // namespace clementineloom::ctl
