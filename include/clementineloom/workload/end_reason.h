#pragma once

#include <cstdint>

namespace clementineloom::workload {

/// @brief Why a run ended.
enum class EndReason : std::uint8_t {
  kDone,
  /// Through its own fault or that of its worker; counts as an attempt.
  kFailed,
  /// Stopped on order.
  kStopped,
  /// Its lease ran out or its worker is gone.
  kLapsed,
  /// Another member of its gang ended.
  kGangBroken,
  /// The other members of its gang did not come in time.
  kGangIncomplete,
};

}  // namespace clementineloom::workload
