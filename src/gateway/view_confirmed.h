#pragma once

#include "clementineloom/routing/monotonic_time.h"

namespace clementineloom::gateway {

/// @brief The view published last was still the newest at a later time. An immutable value.
struct ViewConfirmed {
  MonotonicTime fresh_at;
};

}  // namespace clementineloom::gateway
