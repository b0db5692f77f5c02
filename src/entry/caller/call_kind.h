#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief Operation that a caller requests on a queue or a job.
enum class CallKind : std::uint8_t { kSubmit, kRead, kCancel, kOther };

}  // namespace clementineloom::entry
