#pragma once

#include <string>

#include "clementineloom/state/record_body.h"

namespace clementineloom::scheduler {

/// @brief Key of the step that a proposal makes; equal for all schedulers that propose this step.
[[nodiscard]] std::string SubjectOf(const RecordBody& body);

}  // namespace clementineloom::scheduler
