#pragma once

#include <string>

#include "clementineloom/state/record_body.h"

namespace clementineloom::scheduler {

/// @brief Names what a proposal is about: equal for proposals of the same step, whoever makes them.
[[nodiscard]] std::string SubjectOf(const RecordBody& body);

}  // namespace clementineloom::scheduler
