#pragma once

#include <cstdint>

namespace clementineloom::entry {

/// @brief What a caller asks of a queue or a job.
enum class CallKind : std::uint8_t { kSubmit, kRead, kCancel, kOther };

}  // namespace clementineloom::entry
