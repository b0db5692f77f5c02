#pragma once

#include "clementineloom/routing/monotonic_time.h"

namespace clementineloom::gateway {

/// @brief Event: the last published view was still the newest at fresh_at. An immutable value.
struct ViewConfirmed {
  MonotonicTime fresh_at;
};

}  // namespace clementineloom::gateway
